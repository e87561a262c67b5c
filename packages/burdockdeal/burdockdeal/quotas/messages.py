"""Messages between daemons about the credit of workspaces."""

import dataclasses

#: The path of credit requests at other daemons.
PATH = "/v1/peer/credit"

#: The hops of a credit request that an entry sends.
MAX_HOPS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRequest:
    """Asks the lender of a workspace for credit.

    :param wanted: the number of requests to run; 0 only returns credit, or
        only asks whether the lender can be reached.
    :param returned: credits that are returned unused, not expired yet.
    :param unanswered: the daemons that did not answer the sender.
    :param hops: 2 if the receiver may lend in the place of one of these, 1
        if it may only forward the request to it, 0 if it may do neither.
    """

    workspace: str
    wanted: int
    returned: int = 0
    unanswered: tuple[str, ...] = ()
    hops: int = MAX_HOPS


@dataclasses.dataclass(frozen=True, slots=True)
class CreditReply:
    """Grants credit, or says when or where to ask again.

    :param granted: the number of requests that the receiver may run.
    :param ttl_s: seconds from the sending of the request until the credit
        expires.
    :param retry_after_s: seconds until more credit is available, 0 if
        everything that was wanted is granted.
    :param lender: the daemon that the sender takes to be the lender, empty
        if the request reached a lender.
    :param unavailable: whether the sender neither lends nor reaches the
        daemon that does.
    """

    granted: int = 0
    ttl_s: float = 0.0
    retry_after_s: float = 0.0
    lender: str = ""
    unavailable: bool = False
