//! The closed list of problem kinds, and the table from kind to result.

use std::fmt;

/// One row: kind, its code for callers, HTTP status, whether coming back
/// later makes sense, and what an operator or caller reads.
macro_rules! problems {
    ($($kind:ident $code:literal $status:literal $again:literal $text:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ErrorCode { $($kind),* }

        impl ErrorCode {
            pub const ALL: &'static [ErrorCode] = &[$(ErrorCode::$kind),*];
            pub fn code(self) -> &'static str {
                match self { $(ErrorCode::$kind => $code),* }
            }
            pub fn status(self) -> u16 {
                match self { $(ErrorCode::$kind => $status),* }
            }
            /// Whether the result carries Retry-After.
            pub fn again(self) -> bool {
                match self { $(ErrorCode::$kind => $again),* }
            }
            pub fn text(self) -> &'static str {
                match self { $(ErrorCode::$kind => $text),* }
            }
        }
    };
}

problems! {
    BadJson "bad-json" 400 false "the body is not the JSON that is asked for here";
    BadErrand "bad-errand" 400 false "a field of the errand is missing or malformed";
    UnknownPath "unknown-path" 404 false "there is nothing at this path";
    UnknownRoute "unknown-route" 404 false "the setup has no such route";
    UnknownZone "unknown-zone" 404 false "the site has no such zone";
    UnknownProposal "unknown-proposal" 404 false "no result is kept for this proposal id";
    BadMethod "bad-method" 405 false "this path does not take this method";
    BadRequest "bad-request" 400 false "the request is no proper HTTP/1.1";
    HeadTooLarge "head-too-large" 431 false "the head is larger than the operator allows";
    DeadlinePassed "deadline-passed" 504 false "the time for this request is over; whether it ran is not known";
    SlowSender "slow-sender" 408 false "the errand did not arrive whole in time";
    BodyTooLarge "body-too-large" 413 false "the body is larger than this node takes";
    HomeElsewhere "home-elsewhere" 307 false "this errand is bound to its home region; go to the address given";
    AlreadyTaken "already-taken" 409 false "an errand with this id was taken here before and will not run again";
    StaleVersion "stale-serial" 409 true "the setup has moved on from the serial this builds on";
    BaseAhead "base-ahead" 503 true "the serial that the change builds on is not there yet; the same change may be sent again";
    NoBase "no-base" 428 false "the change does not say which serial it builds on";
    InvalidConfiguration "bad-setup" 422 false "the setup has faults; none of it takes effect";
    TooManyConnections "too-many-connections" 503 true "this node holds as many connections as it takes";
    NoConfiguration "no-setup" 503 true "no setup has been adopted yet";
    NoLease "no-permit" 503 true "this node cannot show that its setup is current";
    NoWorker "no-worker" 503 true "no worker can take this errand now";
    QueueFull "queue-full" 503 true "as much waits already as can be served in time";
    ClaimsFull "claims-full" 503 true "the cores remember as many errand ids as they can; this one was not sent";
    GivenUp "given-up" 503 true "the errand was not sent to any worker and will not be";
    Leaving "leaving" 503 true "this node is going down";
    NoCore "no-core" 503 true "no core node can be reached, or none leads";
    DiskFailed "disk-failed" 503 true "this core cannot sync its disk";
    NotTaken "not-taken" 503 true "the change was not taken and will not be";
    PendingUnknown "pending-unknown" 504 false "the change may or may not be taken; ask by its proposal id";
    OutcomeUnknown "outcome-unknown" 502 false "the errand was handed to a worker; whether it ran is not known";
    WorkerBroke "worker-broke" 502 true "every worker tried broke off; the errand may be repeated";
    WorkerShort "worker-short" 502 true "a worker's result ended before its stated length";
    WorkerGarbage "worker-garbage" 502 true "a worker's result was not what its protocol says";
    WrongErrand "wrong-errand" 502 true "a worker's result named another errand";
    StreamBroken "stream-broken" 502 false "the stream broke off before its last event";
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code(), self.text())
    }
}

impl std::error::Error for ErrorCode {}
