# Release build of the one program that runs on the platform.
file(GLOB entry_sources CONFIGURE_DEPENDS
  src/jobs/*.cc src/cell/*.cc src/instance/*.cc platform/*.cc
  src/placement/run_time_model.cc src/placement/upstream_speeds.cc
  src/base/json.cc src/base/json_object.cc src/base/field_reader.cc src/base/url.cc src/model/path.cc src/model/utf8.cc
  src/net/endpoint.cc src/net/http_client.cc src/net/http_client_connection.cc src/net/http_client_host.cc
  src/net/http_message.cc src/net/http_server.cc src/net/io_pool.cc src/net/memory_budget.cc src/net/problem.cc src/net/tls_context.cc)
list(FILTER entry_sources EXCLUDE REGEX "_(test|benchmark)\\.cc$")
add_executable(jaymast-platform-entry ${entry_sources})
target_include_directories(jaymast-platform-entry PRIVATE src include .)
target_compile_options(jaymast-platform-entry PRIVATE -Wall -Wextra -Wpedantic)
target_compile_definitions(jaymast-platform-entry PRIVATE
  JAYMAST_VERSION="${PROJECT_VERSION}" BOOST_ASIO_DISABLE_EPOLL_IO_URING)
target_link_libraries(jaymast-platform-entry PRIVATE Threads::Threads OpenSSL::SSL OpenSSL::Crypto fmt::fmt prometheus-cpp::core)
