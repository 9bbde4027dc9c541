#pragma once

/// LibDistribution: decides which configuration revision is in force and distributes it to all balancers. It handles
/// opaque files and the items of a revisioned key-value store, and is independent of sockets, the file system, threads
/// and the system clock.

#include <LibDistribution/Controller.h>
#include <LibDistribution/FileSet.h>
#include <LibDistribution/ItemBatch.h>
#include <LibDistribution/ItemReplica.h>
#include <LibDistribution/Options.h>
#include <LibDistribution/ReplicaFeed.h>
#include <LibDistribution/StoreFollower.h>
#include <LibDistribution/TokenBucket.h>
