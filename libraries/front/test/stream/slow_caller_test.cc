#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "fakes.h"
#include "switchsaddle/front/request/caller_service.h"
#include "switchsaddle/front/worker_calls/http_worker_port.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/simulation/network.h"
#include "switchsaddle/transport/asio_dispatcher.h"

namespace switchsaddle::front {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t ChunkBytes = 32U << 10U;
constexpr std::uint64_t Chunks = 2'000;
/** Far larger than the buffers of the kernel and the relay, far smaller than the stream. */
constexpr std::uint64_t MaximumUnreadBytes = 32U << 20U;
constexpr int SmallReceiveBuffer = 64 << 10;

/** A worker that writes chunks as fast as they are accepted, one at a time. */
class UnlimitedWorker : public std::enable_shared_from_this<UnlimitedWorker> {
 public:
  UnlimitedWorker(http::ResponseWriterPtr writer, std::uint64_t& written)
      : writer_(std::move(writer)), written_(written) {}
  void start(const std::string& request_id) {
    http::Response head;
    head.headers = {
        {"Request-Id", request_id}, {"Run", "r1"}, {"Content-Type", "text/event-stream"}};
    writer_->startStream(std::move(head));
    writeNext();
  }

 private:
  void writeNext() {
    const std::string number = std::to_string(next_);
    if (next_ == Chunks) {
      writer_->writeChunk("id: " + number + "\ndata: [DONE]\n\n", [](bool) {});
      writer_->endStream();
      return;
    }
    ++next_;
    std::string event = "id: " + number + "\ndata: {\"run\":\"r1\",\"index\":" + number +
                        ",\"text\":\"" + std::string(ChunkBytes, 'x') + "\"}\n\n";
    const std::size_t size = event.size();
    writer_->writeChunk(std::move(event), [self = shared_from_this(), size](bool accepted) {
      self->written_ += size;
      if (accepted) {
        self->writeNext();
      }
    });
  }

  http::ResponseWriterPtr writer_;
  std::uint64_t& written_;
  std::uint64_t next_ = 0;
};

/** A front's caller side and a worker on real sockets, in one thread. */
class SlowCallerTest : public testing::Test {
 protected:
  SlowCallerTest() {
    worker_server = http::startServer(
        context, {"127.0.0.1", 0}, {},
        [this](const http::Request& request, const http::ResponseWriterPtr& writer) {
          std::make_shared<UnlimitedWorker>(writer, written)
              ->start(std::string(request.header("Request-Id")));
        });
    configuration::Tenant tenant;
    tenant.name = "editors";
    tenant.shape.services = {"completions"};
    fleet_view.view.tenants["editors"] = tenant;
    const std::string hash = configuration::sha256Hex("secret");
    fleet_view.view.keys[hash] = configuration::Key{"k", hash, "editors"};
    fleet_view.view.routes["large"] =
        configuration::Route{"large", "completions", {"large"}, "models"};
    workers::Worker& worker = fleet_view.addWorker("w1", "models");
    worker.entry.address = worker_server->address();
    router.workers = {worker};
    front_server = http::startServer(context, {"127.0.0.1", 0}, {},
                                     [this](http::Request request, http::ResponseWriterPtr writer) {
                                       service.enqueue(std::move(request), std::move(writer));
                                     });
  }
  void connect() {
    const base::NodeAddress front = front_server->address();
    caller.open(tcp::v4());
    caller.set_option(boost::asio::socket_base::receive_buffer_size(SmallReceiveBuffer));
    caller.connect({boost::asio::ip::make_address(front.ip), front.port});
    const std::string body =
        R"({"model":"large","stream":true,"messages":[{"role":"user","content":"hi"}]})";
    boost::asio::write(caller,
                       boost::asio::buffer("POST /v1/chat/completions HTTP/1.1\r\nHost: front\r\n"
                                           "Authorization: Bearer secret\r\nContent-Length: " +
                                           std::to_string(body.size()) + "\r\n\r\n" + body));
  }
  /** Runs until the worker writes nothing for 200 ms; may return early on a slow machine. */
  void runUntilWritesPause() {
    std::uint64_t before = 0;
    do {
      before = written;
      context.restart();
      context.run_for(std::chrono::milliseconds(200));
    } while (written != before && written < Chunks * ChunkBytes);
  }
  /** Reads until the final chunk while the worker and the front run. */
  std::string readAll() {
    std::string text;
    std::array<char, 64U << 10U> buffer{};
    bool open = true;
    std::function<void()> read = [&] {
      caller.async_read_some(boost::asio::buffer(buffer),
                             [&](const boost::system::error_code& error, std::size_t size) {
                               text.append(buffer.data(), size);
                               maximum_unread =
                                   std::max(maximum_unread, written - readOfWritten(text.size()));
                               open = !error && !text.ends_with("0\r\n\r\n");
                               if (open) {
                                 read();
                               }
                             });
    };
    read();
    context.restart();
    while (open && context.run_one() > 0) {
    }
    return text;
  }
  std::uint64_t readOfWritten(std::uint64_t read) const { return std::min(read, written); }

  boost::asio::io_context context{1};
  transport::AsioDispatcher dispatcher{context};
  std::unique_ptr<http::Client> client = http::createClient(context);
  HttpWorkerPort port{dispatcher, *client};
  simulation::World world{1};
  simulation::Process idle_process{world};
  simulation::Network network{world};
  std::unique_ptr<transport::Transport> transport = network.attach({"127.0.0.9", 1}, idle_process);
  transport::PeerCalls calls{idle_process, *transport};
  FakeClaims claims;
  FakeSlots slots;
  FakeSession session;
  FakeRouter router;
  FakeFleetView fleet_view;
  RetryBudget retries{dispatcher};
  WorkerCircuit circuit{dispatcher};
  Counters counters;
  StreamStages stages;
  StreamFlow streams{StreamEnvironment{dispatcher, world.random(), slots, session, router, port,
                                       fleet_view, retries, circuit, counters, stages}};
  OneShotFlow one_shots{OneShotEnvironment{dispatcher, world.random(), claims, slots, session, port,
                                           fleet_view, retries, circuit, counters}};
  ControlForwarder control{calls, [] { return std::vector<base::NodeAddress>{}; }};
  CallerService service{CallerDependencies{dispatcher,
                                           session,
                                           fleet_view,
                                           router,
                                           streams,
                                           one_shots,
                                           control,
                                           counters,
                                           {},
                                           [] { return std::string("{}"); },
                                           [] { return std::string(); },
                                           [] { return std::string("{}"); }}};
  std::uint64_t written = 0;
  std::uint64_t maximum_unread = 0;
  std::unique_ptr<http::Server> worker_server;
  std::unique_ptr<http::Server> front_server;
  tcp::socket caller{context};
};

TEST_F(SlowCallerTest, SlowCallerPausesItsWorkerAndReceivesEveryEvent) {
  connect();
  runUntilWritesPause();
  // The caller has read nothing, so all that the worker has written is in bounded buffers.
  EXPECT_LT(written, MaximumUnreadBytes);
  const std::string text = readAll();
  EXPECT_LT(maximum_unread, MaximumUnreadBytes);
  EXPECT_GT(written, Chunks * ChunkBytes);
  EXPECT_NE(text.find("data: [DONE]"), std::string::npos);
  std::size_t at = 0;
  for (std::uint64_t index = 0; index < Chunks; ++index) {
    at = text.find("id: " + std::to_string(index) + "\n", at);
    ASSERT_NE(at, std::string::npos) << "event " << index << " is missing";
  }
}

}  // namespace
}  // namespace switchsaddle::front
