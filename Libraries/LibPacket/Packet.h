#pragma once

/// LibPacket: parsing and building of the packet formats on the data path. Allocates nothing while parsing.

#include <LibPacket/Gue.h>
#include <LibPacket/HopKeyRing.h>
#include <LibPacket/IpHeader.h>
#include <LibPacket/PacketBuilder.h>
#include <LibPacket/ParsedPacket.h>
#include <LibPacket/Refusal.h>
