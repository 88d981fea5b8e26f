#include <unistd.h>

#include <exception>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "cli/command_line.h"
#include "cli/http_api_client.h"
#include "cli/key_commands.h"

int main(int argc, char** argv) {
  try {
    jaymast::CommandLine line({.in = std::cin,
                               .out = std::cout,
                               .err = std::cerr,
                               .terminal = isatty(STDOUT_FILENO) == 1,
                               .make_client = jaymast::HttpApiClient::Open,
                               .random_hex = [] { return jaymast::RandomHex(jaymast::kSecretBytes); },
                               .sleep = [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }});
    return static_cast<int>(line.Run(std::vector<std::string>(argv + 1, argv + argc)));
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return static_cast<int>(jaymast::ExitCode::kRefused);
  }
}
