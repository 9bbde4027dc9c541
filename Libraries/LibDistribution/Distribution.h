#pragma once

/// LibDistribution: which configuration revision is in force and how it reaches every balancer. Works on opaque files.
/// Knows no sockets, file system, threads or system clock.

#include <LibDistribution/Controller.h>
#include <LibDistribution/FileSet.h>
#include <LibDistribution/Options.h>
