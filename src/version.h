/* The version that every program prints with --version. */
#ifndef LW_VERSION_H
#define LW_VERSION_H

#define LW_VERSION "0.1.0"

#endif
