#include <iostream>

#include "app/command_registry.hpp"

namespace boragehill::app {

namespace {

constexpr const char* version = "0.1.0";

const command_registrar version_command{
    {.name = "version",
     .usage = "version",
     .summary = "prints the version",
     .run = [](const std::vector<std::string>&) {
       std::cout << "boragehill " << version << "\n";
       return exit_code::ok;
     }}};

}  // namespace

}  // namespace boragehill::app
