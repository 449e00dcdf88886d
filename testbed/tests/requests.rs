//! Requests of clients and the answers of workers in trouble: whose answer is
//! whose, what may be sent again, and what a client may be told.

#[path = "requests/answers.rs"]
mod answers;
#[path = "requests/faults.rs"]
mod faults;
#[allow(dead_code)]
#[path = "../../sorreldoor/tests/proxy/harness.rs"]
mod harness;
#[path = "requests/states.rs"]
mod states;
#[path = "requests/worker.rs"]
mod worker;
