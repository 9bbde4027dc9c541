#include <LibLoad/RetryBudget.h>

namespace Chicorytally::Load {

RefusalAdvice refusalAdvice(Placement::Reason reason)
{
    switch (reason) {
    case Placement::Reason::Overloaded:
    case Placement::Reason::AwaitingAcknowledgement:
    case Placement::Reason::NotSynchronised:
        return RefusalAdvice::RetryLater;
    default:
        return RefusalAdvice::DoNotRetry;
    }
}

}
