//! Client requests against faulty workers: responses are matched to their
//! requests, only safe retries are made, and clients get a truthful status.

#[path = "requests/answers.rs"]
mod answers;
#[path = "../../sorreldoor/tests/proxy/core_contact.rs"]
mod core_contact;
#[allow(dead_code)]
#[path = "../../sorreldoor/tests/proxy/event_stream.rs"]
mod event_stream;
#[path = "requests/faults.rs"]
mod faults;
#[allow(dead_code)]
#[path = "../../sorreldoor/tests/proxy/harness.rs"]
mod harness;
#[path = "requests/states.rs"]
mod states;
#[path = "requests/worker.rs"]
mod worker;
