/// \file
/// The program `teaselhitch`: runs a node and gives operators their commands.

#include "teaselhitch/Support/Log.h"

int main() { return 2; }
