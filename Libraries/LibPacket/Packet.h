#pragma once

/// LibPacket: parsers and builders for the packet formats of the data path. Parsing doesn't allocate memory.

#include <LibPacket/Gue.h>
#include <LibPacket/HopKeyRing.h>
#include <LibPacket/IpHeader.h>
#include <LibPacket/PacketBuilder.h>
#include <LibPacket/ParsedPacket.h>
#include <LibPacket/Refusal.h>
