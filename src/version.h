/* The version every binary prints with --version. */
#ifndef LW_VERSION_H
#define LW_VERSION_H

#define LW_VERSION "0.1.0"

#endif
