#pragma once

/// LibDistribution: which configuration revision is in force and how it reaches every balancer. Works on opaque files,
/// and on the items of a revisioned store.
/// Knows no sockets, file system, threads or system clock.

#include <LibDistribution/Controller.h>
#include <LibDistribution/FileSet.h>
#include <LibDistribution/ItemBatch.h>
#include <LibDistribution/ItemReplica.h>
#include <LibDistribution/Options.h>
#include <LibDistribution/ReplicaFeed.h>
#include <LibDistribution/StoreFollower.h>
