# Compiler cache, fast linker and warnings shared by every target.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()
find_program(MOLD_PROGRAM mold)
if(MOLD_PROGRAM)
  add_link_options(-fuse-ld=mold)
endif()
add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual -Werror)
# GCC 12 reports false positives of these two warnings in optimised coroutine and std::variant code.
add_compile_options(-Wno-maybe-uninitialized -Wno-dangling-pointer)

# SWITCHSADDLE_SANITIZERS: a list for -fsanitize, such as "address,undefined" or "thread". Such a program reports a use
# of freed memory, undefined behaviour or a data race and then ends.
set(SWITCHSADDLE_SANITIZERS "" CACHE STRING "Sanitizers of every target, for -fsanitize (default: none)")
if(SWITCHSADDLE_SANITIZERS)
  add_compile_options(-fsanitize=${SWITCHSADDLE_SANITIZERS} -fno-sanitize-recover=all -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${SWITCHSADDLE_SANITIZERS})
  # GCC warns inside Boost's headers once they are instrumented.
  add_compile_options(-Wno-error)
endif()
