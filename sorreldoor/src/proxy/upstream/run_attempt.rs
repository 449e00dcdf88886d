//! The steps of one attempt, from the connection to the end of the response.

use super::attempt::{Attempt, AttemptResult};
use super::connection_pool::Connection;
use super::request_sender::{send_request, SendResult};
use super::response_body::read_response_body;
use super::response_class::{classify_response, is_success, ExpectedRequest, ResponseClass};
use super::response_head::await_head;
use super::stream_relay::relay_stream;
use crate::balancer::AttemptOutcome;
use crate::configuration::hosted::Kind;
use crate::error::ErrorCode;
use crate::proxy::client::Client;
use crate::proxy::delivery::Delivery;
use crate::proxy::dialect::{Dialect, ResponseMetadata};
use crate::proxy::http1::{Framing, Head};
use crate::proxy::request_state::RequestEvent;
use crate::proxy::response_writer::complete_response;
use crate::runtime::Clock;
use crate::types::Millis;

/// Time-out for reading the body of a rejection; unless it is read, the connection
/// cannot be reused.
const REJECTION_BODY_TIMEOUT_MS: Millis = 100;
/// HTTP status 421 (RFC 9110, section 15.5.20).
const MISDIRECTED_REQUEST: u16 = 421;

/// Sends the request to the chosen worker and forwards its response.
pub async fn run_attempt<D: Dialect, C: Clock>(
    attempt: &Attempt<'_, D, C>,
    client: &mut Client,
    delivery: &mut Delivery,
) -> AttemptResult {
    let (mut connection, early_head) = match send_request(attempt, delivery.last_event).await {
        SendResult::Sent(connection) => (connection, None),
        SendResult::EarlyResponse(connection, head) => (connection, Some(head)),
        SendResult::NothingSent => {
            attempt.record_outcome(AttemptOutcome::ConnectFailed);
            return AttemptResult::Ended;
        }
        SendResult::Failed(event) => return attempt_failed(attempt, client, delivery, event).await,
    };
    let head = match early_head {
        Some(head) => Ok(head),
        None => await_head(attempt, client, &mut connection).await,
    };
    match head {
        Ok(head) => handle_response(attempt, client, delivery, connection, head).await,
        Err(event) => {
            attempt.close_connection(connection);
            attempt_failed(attempt, client, delivery, event).await
        }
    }
}

/// Ends an attempt that failed without a usable response. Responds to the client
/// if the deadline has passed.
async fn attempt_failed<D: Dialect, C: Clock>(
    attempt: &Attempt<'_, D, C>,
    client: &mut Client,
    delivery: &Delivery,
    event: RequestEvent,
) -> AttemptResult {
    if event == RequestEvent::ClientDone {
        return attempt.client_disconnected();
    }
    let result = attempt.worker_failed(event);
    if attempt.time_left() > 0 || delivery.head_sent {
        return result;
    }
    let keep_alive = client.send_error(ErrorCode::DeadlineExceeded, 0).await;
    AttemptResult::Finished { keep_alive }
}

fn response_metadata<D: Dialect>(dialect: &D, head: &Head) -> ResponseMetadata {
    let mut metadata = ResponseMetadata {
        misdirected: head.status == MISDIRECTED_REQUEST,
        ..ResponseMetadata::default()
    };
    for (name, value) in head.iter() {
        dialect.read_response_header(head.status, name, value, &mut metadata);
    }
    metadata
}

/// Classifies the response by its head, and forwards it or ends the attempt.
async fn handle_response<D: Dialect, C: Clock>(
    attempt: &Attempt<'_, D, C>,
    client: &mut Client,
    delivery: &mut Delivery,
    connection: Connection,
    head: Head,
) -> AttemptResult {
    let metadata = response_metadata(&attempt.shared.dialect, &head);
    let expected = ExpectedRequest {
        client_attempt_id: &attempt.request.client_attempt_id,
        method: &attempt.request.method,
    };
    match classify_response(&head, &metadata, &expected) {
        ResponseClass::Unusable(event) => {
            attempt.close_connection(connection);
            attempt.worker_failed(event)
        }
        ResponseClass::Misdirected => {
            attempt.close_connection(connection);
            attempt.record_outcome(AttemptOutcome::Misdirected);
            AttemptResult::Ended
        }
        ResponseClass::NotRun(framing) => {
            let timeout_ms = REJECTION_BODY_TIMEOUT_MS.min(attempt.time_left());
            let _ =
                read_response_body(attempt, client, connection, &head, framing, timeout_ms).await;
            attempt.record_outcome(AttemptOutcome::Rejected(metadata.load));
            AttemptResult::Ended
        }
        ResponseClass::Own(framing) => {
            attempt.record_event(RequestEvent::HeadReceived);
            attempt.record_outcome(AttemptOutcome::HeadReceived {
                load: metadata.load,
                slow_start_ms: metadata.warmup_remaining_ms,
            });
            forward_response(attempt, client, delivery, connection, head, framing).await
        }
    }
}

/// Forwards the request's own response to the client.
async fn forward_response<D: Dialect, C: Clock>(
    attempt: &Attempt<'_, D, C>,
    client: &mut Client,
    delivery: &mut Delivery,
    connection: Connection,
    head: Head,
    framing: Framing,
) -> AttemptResult {
    // without a body, as with status 204, there are no events to relay
    let is_stream = attempt.route.kind == Kind::Stream && framing != Framing::None;
    if is_success(&head) && is_stream {
        return relay_stream(attempt, client, delivery, connection, head, framing).await;
    }
    if delivery.head_sent {
        // the client has part of a stream, and this response is none
        attempt.close_connection(connection);
        return attempt.worker_failed(RequestEvent::Malformed);
    }
    let timeout_ms = attempt.time_left();
    let body = read_response_body(attempt, client, connection, &head, framing, timeout_ms).await;
    let body = match body {
        Ok(body) => body,
        Err(event) => return attempt_failed(attempt, client, delivery, event).await,
    };
    let response = complete_response(client, &head, &body);
    // another worker may still succeed; otherwise the client gets this error
    let try_another = head.status >= 500 && attempt.may_fail_over(0);
    attempt.record_outcome(AttemptOutcome::Completed(head.status));
    if try_another {
        delivery.error_response = Some(response);
        return AttemptResult::Ended;
    }
    attempt.record_event(RequestEvent::ClientDone);
    let keep_alive = client.write(&response).await;
    AttemptResult::Finished { keep_alive }
}
