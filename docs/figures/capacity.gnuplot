# gnuplot docs/figures/capacity.gnuplot, from the root of the repository
set terminal svg size 720,400 font "sans,13"
set datafile separator ","
set key left top
set grid

set output "docs/figures/capacity-bytes.svg"
set xlabel "fronts"
set ylabel "bytes a second that a quiet front receives"
set logscale y
plot "docs/figures/capacity-fronts-before.csv" using 1:(column("front_received_bytes_s")) with linespoints title "all fronts named in each renewal", \
     "docs/figures/capacity-fronts.csv" using 1:(column("front_received_bytes_s")) with linespoints title "named where they changed", \
     5000 title "allowance"
unset logscale y

set output "docs/figures/capacity-delay.svg"
set ylabel "ms from sending a change to the last front"
plot "docs/figures/capacity-fronts-before.csv" using 1:(column("everywhere_p50_ms")) with linespoints title "before, p50", \
     "docs/figures/capacity-fronts.csv" using 1:(column("everywhere_p50_ms")) with linespoints title "p50", \
     "docs/figures/capacity-fronts.csv" using 1:(column("everywhere_p95_ms")) with linespoints title "p95"

set output "docs/figures/capacity-tenants.svg"
set xlabel "tenants"
set ylabel "ms for each step"
plot for [name in "encode_ms decode_ms decide_ms view_ms delta_ms"] "docs/figures/capacity-slopes.csv" using 1:(column(name)) with linespoints title name

set output "docs/figures/capacity-claims.svg"
set xlabel "claims a second"
set ylabel "ms"
set yrange [0:*]
plot "docs/figures/capacity-claims.csv" using 1:(column("begin_p50_ms")) with linespoints title "begin p50", \
     "docs/figures/capacity-claims.csv" using 1:(column("begin_p95_ms")) with linespoints title "begin p95", \
     "docs/figures/capacity-claims.csv" using 1:(10*column("core_cpu_ms_per_claim")) with linespoints title "core's processor time for a claim, times 10"
