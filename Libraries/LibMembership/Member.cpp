#include <LibMembership/Member.h>

namespace Chicorytally::Membership {

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Unreachable:
        return "unreachable";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

}
