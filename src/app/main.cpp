#include "app/command_line.h"

int main(int argc, char** argv) { return headrouter::command_line(argc, argv); }
