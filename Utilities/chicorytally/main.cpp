#include <chicorytally/Tool.h>

#include <iostream>

int main(int argc, char** argv) { return Chicorytally::Tool::run({ argv + 1, argv + argc }, std::cout, std::cerr); }
