//! All errors that callers and operators receive, each with its code, HTTP
//! status, message, and whether a retry is safe.
//!
//! The table below is the source of `docs/problems.md`; a test compares the page
//! with it. Codes are public and never change.

use std::fmt;

macro_rules! error_codes {
    ($($name:ident $code:literal $status:literal $retryable:literal $message:literal $action:literal;)*) => {
        /// The reason why a request or an operator's change failed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ErrorCode { $(#[doc = $message] $name),* }

        impl ErrorCode {
            /// All errors, in the order of the page.
            pub const ALL: &'static [ErrorCode] = &[$(ErrorCode::$name),*];

            /// The public code: the field `problem` of a JSON response.
            #[must_use]
            pub fn code(self) -> &'static str {
                match self { $(ErrorCode::$name => $code),* }
            }

            /// The HTTP status of the response.
            #[must_use]
            pub fn status(self) -> u16 {
                match self { $(ErrorCode::$name => $status),* }
            }

            /// Whether a retry is safe and may succeed. Such responses carry
            /// `Retry-After` (RFC 9110, section 10.2.3).
            #[must_use]
            pub fn is_retryable(self) -> bool {
                match self { $(ErrorCode::$name => $retryable),* }
            }

            /// The message for the caller or operator.
            #[must_use]
            pub fn message(self) -> &'static str {
                match self { $(ErrorCode::$name => $message),* }
            }

            /// What an engineer on call should do.
            #[must_use]
            pub fn action(self) -> &'static str {
                match self { $(ErrorCode::$name => $action),* }
            }
        }
    };
}

error_codes! {
    InvalidJson "bad-json" 400 false "the body is not the JSON that this path expects"
        "the caller corrects its request";
    InvalidRequestField "bad-errand" 400 false "a field of the request is missing or malformed"
        "the caller corrects its request";
    UnknownKey "unknown-key" 401 false "the request carries no API key of a tenant"
        "check the caller's key against the tenants of `ctl get`; a revoked key counts as unknown";
    UnknownPath "unknown-path" 404 false "this node serves no such path"
        "the caller corrects the path; see api.md";
    UnknownRoute "unknown-route" 404 false "the configuration has no such route"
        "check the route name against `ctl get`";
    UnknownZone "unknown-zone" 404 false "the site has no such zone"
        "check the zone name against the settings";
    UnknownProposal "unknown-proposal" 404 false "no outcome is stored for this proposal id"
        "send the change again under the same id";
    MethodNotAllowed "bad-method" 405 false "this path does not support this method"
        "the caller corrects its request";
    MalformedHttp "bad-request" 400 false "the request is not valid HTTP/1.1"
        "find the client; an intermediary may rewrite its requests";
    HeadTooLarge "head-too-large" 431 false "the request head exceeds the configured limit"
        "raise `limits` of the hosted configuration, or shorten headers";
    DeadlineExceeded "deadline-passed" 504 false "the deadline of this request has passed; whether it ran is not known"
        "look at queue and worker latency; check whether it ran before sending it again";
    RequestTimeout "slow-sender" 408 false "the request was not received completely in time"
        "look at the network between caller and node";
    BodyTooLarge "body-too-large" 413 false "the body exceeds the limit of this node"
        "raise `max_body`, or send less";
    HomeRegionRedirect "home-elsewhere" 307 false "this request is bound to its home region; use the address given"
        "nothing; clients follow the redirect";
    DuplicateRequestId "already-taken" 409 false "a request with this id was accepted before; it is not run again"
        "nothing; the caller uses a fresh id for a new request";
    StaleVersion "stale-serial" 409 true "the base version of the change is no longer the current version"
        "read the configuration again and base the change on its version";
    BaseVersionAhead "base-ahead" 503 true "the base version of the change is not committed yet; the same change may be sent again"
        "send the same change again";
    MissingBaseVersion "no-base" 428 false "the change names no base version"
        "add `--base`";
    InvalidConfiguration "bad-setup" 422 false "the configuration is not valid; none of it takes effect"
        "correct the faults that are listed";
    ConfigurationTooLarge "setup-too-large" 413 false "the configuration would be larger than the limit; none of the change takes effect"
        "delete items that are not used, or divide the site";
    TooManyConnections "too-many-connections" 503 true "this node has reached its connection limit"
        "raise `max_connections`, or look for clients that leak connections";
    NoConfiguration "no-setup" 503 true "no configuration is in force yet"
        "put one: `ctl put FILE --base 0`; after a restart, check that there is a leader (`ctl status`)";
    NoLease "no-permit" 503 true "this node cannot prove that its configuration is current"
        "look at the Global Leader and at the network path between this edge and the cores";
    NoWorker "no-worker" 503 true "no worker can serve this request now"
        "look at worker load and slow start (`ctl placement` for a gateway's own routes)";
    QuotaExceeded "quota-exceeded" 429 true "the tenant's quota is used up; this request was not sent"
        "compare the tenant's `rate_per_s` with the rate that it sends; see hosted.md, quotas";
    QueueFull "queue-full" 503 true "the queue is full: no further request could be served in time"
        "add workers, or find the source of the load";
    ClaimTableFull "claims-full" 503 true "the claim table for request ids is full; this request was not sent"
        "raise `max_claims` on every core, or send fewer requests under ids of their own";
    NotSent "given-up" 503 true "the request was not sent to any worker and will not be"
        "nothing; if frequent, as for `no-worker`";
    ShuttingDown "leaving" 503 true "this node is shutting down"
        "nothing; clients use another node";
    NoControlPlane "no-core" 503 true "no core can be reached, or there is no leader"
        "see runbook.md, no leader";
    DiskFailed "disk-failed" 503 true "this core cannot sync its disk"
        "free space or replace the disk; see replacing.md";
    ChangeNotAccepted "not-taken" 503 true "the change was not accepted and will not be"
        "send it again";
    ChangeOutcomeUnknown "pending-unknown" 504 false "it is not known whether the change is committed; query its proposal id"
        "`ctl ask ID`, then read the configuration";
    OutcomeUnknown "outcome-unknown" 502 false "the request was sent to a worker; whether it ran is not known"
        "check with the service whether it ran before sending it again";
    WorkerDisconnected "worker-broke" 502 true "every attempted worker closed the connection; the request may be sent again"
        "look at the logs of the workers (a gateway names them in E271 and E272)";
    TruncatedResponse "worker-short" 502 true "a response of a worker ended before its stated length"
        "look at that worker";
    InvalidWorkerResponse "worker-garbage" 502 true "a response of a worker violated its protocol"
        "look at that worker";
    MismatchedRequestId "wrong-errand" 502 true "a response of a worker named another request"
        "take that worker out of service: it mixes up responses";
    StreamInterrupted "stream-broken" 502 false "the stream ended before its last event"
        "look at the worker named in E271; the client resumes the stream or sends the request again";
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code(), self.message())
    }
}

impl std::error::Error for ErrorCode {}
