//! Forwarding one client request: the balancer chooses a worker for each
//! attempt, until the client has received a response.

use super::client::Client;
use super::delivery::Delivery;
use super::dialect::Dialect;
use super::request_state::RequestEvent;
use super::shared_state::SharedState;
use super::upstream::{run_attempt, Attempt, AttemptResult, ClientRequest};
use crate::balancer::{Decision, RequestId};
use crate::configuration::hosted::Route;
use crate::error::ErrorCode;
use crate::runtime::Clock;
use crate::types::Millis;
use async_std::task::sleep;
use futures_lite::future::or;
use std::time::Duration;

/// The balancer's decision on a request, and what an attempt needs beside it.
struct Placement {
    decision: Decision,
    /// `None` if the current configuration has no route for the request.
    route: Option<Route>,
    /// Milliseconds of the monotonic clock.
    deadline: Millis,
}

/// Forwards one request; returns whether the client's connection stays open.
pub async fn forward_request<D: Dialect, C: Clock>(
    shared: &SharedState<D, C>,
    client: &mut Client,
    request: &ClientRequest,
) -> bool {
    let mut delivery = Delivery::new(request.last_event);
    loop {
        let placement = place(shared, request.request_id);
        let target = match placement.decision {
            Decision::Send(target) => target,
            Decision::Wait(timeout_ms) => {
                if !wait_in_queue(shared, client, request.request_id, timeout_ms).await {
                    return false;
                }
                continue;
            }
            Decision::Reject(error, retry_after_ms) => {
                return reject(client, delivery, error, retry_after_ms).await;
            }
        };
        let Some(route) = placement.route else {
            return client.send_error(ErrorCode::UnknownRoute, 0).await;
        };
        let attempt = Attempt {
            shared,
            request,
            target: &target,
            route: &route,
            deadline: placement.deadline,
        };
        let attempted = async { Some(run_attempt(&attempt, client, &mut delivery).await) };
        let interrupted = async {
            shared.requests_must_end().await;
            None
        };
        match or(attempted, interrupted).await {
            Some(AttemptResult::Finished { keep_alive }) => return keep_alive,
            Some(AttemptResult::Ended) => {}
            // an error response would follow part of another response
            None if client.response_started => return false,
            // no more attempts are made, so the next decision is a rejection
            None => {}
        }
    }
}

/// Obtains the balancer's decision on the request.
fn place<D: Dialect, C: Clock>(shared: &SharedState<D, C>, request_id: RequestId) -> Placement {
    let now = shared.now();
    let mut controller = shared.lock();
    if shared.is_queue_closed() {
        controller
            .balancer
            .record_event(request_id, RequestEvent::Shutdown);
    }
    let decision = controller.decide(request_id, now);
    Placement {
        decision,
        route: controller.balancer.route(request_id).cloned(),
        deadline: controller.balancer.deadline(request_id),
    }
}

/// Ends a request of which no further attempt is made; returns whether the
/// client's connection stays open.
async fn reject(
    client: &mut Client,
    mut delivery: Delivery,
    error: ErrorCode,
    retry_after_ms: Millis,
) -> bool {
    if delivery.head_sent {
        // closing without the last chunk marks the stream as incomplete
        return false;
    }
    if let Some(response) = delivery.error_response.take() {
        return client.write(&response).await;
    }
    client.send_error(error, retry_after_ms).await
}

/// Waits until the balancer may have a worker for the request, or for
/// `timeout_ms`. Returns false if the client has disconnected.
async fn wait_in_queue<D: Dialect, C: Clock>(
    shared: &SharedState<D, C>,
    client: &Client,
    request_id: RequestId,
    timeout_ms: Millis,
) -> bool {
    let wakeup = shared.enqueue(request_id);
    let woken = async {
        let _ = wakeup.recv().await;
        true
    };
    let timer = async {
        sleep(Duration::from_millis(timeout_ms.max(1))).await;
        true
    };
    let disconnected = async {
        client.disconnected().await;
        false
    };
    let connected = or(woken, or(timer, disconnected)).await;
    shared.dequeue(request_id);
    connected
}
