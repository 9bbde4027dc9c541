#pragma once

/// LibRelay: relays the changes of the platform's store between balancers over HTTP, so that few of them call the
/// store, and exchanges reports of failed upstreams and of load between balancers in datagrams.

#include <LibRelay/AnswerHandler.h>
#include <LibRelay/LoadExchange.h>
#include <LibRelay/LoadRecordStore.h>
#include <LibRelay/LoadReportCodec.h>
#include <LibRelay/PeerMessenger.h>
#include <LibRelay/PeerReader.h>
#include <LibRelay/PeerServer.h>
#include <LibRelay/PeerView.h>
#include <LibRelay/ReportExchange.h>
#include <LibRelay/Subscription.h>
