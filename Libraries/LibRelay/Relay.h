#pragma once

/// LibRelay: carries the platform's store from balancer to balancer over HTTP, so that few of them call the store, and
/// what single balancers find out about upstreams in datagrams.

#include <LibRelay/AnswerHandler.h>
#include <LibRelay/PeerMessenger.h>
#include <LibRelay/PeerReader.h>
#include <LibRelay/PeerServer.h>
#include <LibRelay/ReportExchange.h>
#include <LibRelay/Subscription.h>
