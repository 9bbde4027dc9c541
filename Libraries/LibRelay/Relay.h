#pragma once

/// LibRelay: carries the platform's store from balancer to balancer over HTTP, so that few of them call the store.

#include <LibRelay/PeerMessenger.h>
#include <LibRelay/PeerReader.h>
#include <LibRelay/PeerServer.h>
#include <LibRelay/Subscription.h>
#include <LibRelay/SuspicionExchange.h>
