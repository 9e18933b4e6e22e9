#include "commandline.h"

int main(int argc, char **argv)
{
    return anvilmill::tools::runCommandLine({argv, argv + argc});
}
