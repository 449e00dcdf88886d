//! One client request from its first attempt to its end: attempts one after
//! the other as the table says, until the client has its answer or there is
//! none.

use super::answer::whole_answer;
use super::attempt::Event;
use super::await_head::await_head;
use super::body::Decoder;
use super::client::Client;
use super::delivery::Delivery;
use super::dialect::{Dialect, ResponseMetadata};
use super::exchange::{ClientRequest, Exchange, Outcome};
use super::http1::{Framing, Head};
use super::pool::Connection;
use super::read_whole::read_whole;
use super::send::{send, Sent};
use super::shared::SharedState;
use super::stream::relay;
use super::verdict::{classify_response, Expected, ResponseClass};
use crate::balancer::{AttemptOutcome, Decision, RequestId};
use crate::configuration::hosted::{Kind, Route};
use crate::error::ErrorCode;
use crate::runtime::Clock;
use crate::types::Millis;
use async_std::task::sleep;
use futures_lite::future::or;
use std::time::Duration;

/// How long the rest of a refusal may take, so that its connection is kept.
const REFUSAL_BODY_MS: Millis = 100;

/// Carries one request; whether the client's connection may go on.
pub async fn carry<D: Dialect, C: Clock>(
    shared: &SharedState<D, C>,
    client: &mut Client,
    request: &ClientRequest,
) -> bool {
    let mut delivery = Delivery::new(request.last_event);
    loop {
        let (pick, route, deadline) = pick(shared, request.request_id);
        let target = match pick {
            Decision::Send(target) => target,
            Decision::Wait(ms) => {
                if !wait_in_queue(shared, client, request.request_id, ms).await {
                    return false;
                }
                continue;
            }
            Decision::Reject(error_code, retry_after_ms) => {
                return refuse(client, delivery, error_code, retry_after_ms).await;
            }
        };
        let Some(route) = route else {
            return client.answer(ErrorCode::UnknownRoute, 0).await;
        };
        let exchange = Exchange {
            shared,
            request,
            target: &target,
            route: &route,
            deadline,
        };
        match attempt(&exchange, client, &mut delivery).await {
            Outcome::Finished { keep_alive } => return keep_alive,
            Outcome::AttemptEnded => {}
        }
    }
}

fn pick<D: Dialect, C: Clock>(
    shared: &SharedState<D, C>,
    request_id: RequestId,
) -> (Decision, Option<Route>, Millis) {
    let now = shared.now();
    let mut front = shared.lock();
    if shared.is_queue_closed() {
        front.table.record_event(request_id, Event::Shutdown);
    }
    let pick = front.table.pick(request_id, now);
    let route = front.table.route(request_id).cloned();
    (pick, route, front.table.deadline(request_id))
}

/// Ends a request that no (other) worker gets.
async fn refuse(
    client: &mut Client,
    mut delivery: Delivery,
    error_code: ErrorCode,
    retry_after_ms: Millis,
) -> bool {
    if delivery.head_sent {
        // what stops here must not look like the end
        return false;
    }
    if let Some(failure) = delivery.failure.take() {
        return client.write(&failure).await;
    }
    client.answer(error_code, retry_after_ms).await
}

/// Until woken or the time is over; false once the client is gone.
async fn wait_in_queue<D: Dialect, C: Clock>(
    shared: &SharedState<D, C>,
    client: &Client,
    request_id: RequestId,
    most_ms: Millis,
) -> bool {
    let woken = shared.wait(request_id);
    let woken = async {
        let _ = woken.recv().await;
        true
    };
    let timer = async {
        sleep(Duration::from_millis(most_ms.max(1))).await;
        true
    };
    let gone = async {
        client.gone().await;
        false
    };
    let go_on = or(woken, or(timer, gone)).await;
    shared.waited(request_id);
    go_on
}

async fn attempt<D: Dialect, C: Clock>(
    exchange: &Exchange<'_, D, C>,
    client: &mut Client,
    delivery: &mut Delivery,
) -> Outcome {
    let (mut connection, early) = match send(exchange, delivery.last_event).await {
        Sent::Whole(connection) => (connection, None),
        Sent::AnsweredEarly(connection, head) => (connection, Some(head)),
        Sent::NothingLeft => {
            exchange.outcome(AttemptOutcome::ConnectFailed);
            return Outcome::AttemptEnded;
        }
        Sent::Failed(event) => return ended(exchange, client, delivery, event).await,
    };
    let head = match early {
        Some(head) => Ok(head),
        None => await_head(exchange, client, &mut connection).await,
    };
    match head {
        Ok(head) => answered(exchange, client, delivery, connection, head).await,
        Err(event) => {
            exchange.close(connection);
            ended(exchange, client, delivery, event).await
        }
    }
}

/// The attempt ended without an answer that can be used.
async fn ended<D: Dialect, C: Clock>(
    exchange: &Exchange<'_, D, C>,
    client: &mut Client,
    delivery: &Delivery,
    event: Event,
) -> Outcome {
    if event == Event::ClientDone {
        return exchange.client_gone();
    }
    let outcome = exchange.worker_failed(event);
    if exchange.time_left() > 0 || delivery.head_sent {
        return outcome;
    }
    let keep_alive = client.answer(ErrorCode::DeadlineExceeded, 0).await;
    Outcome::Finished { keep_alive }
}

/// A head has come: whose is it, and what does it mean?
async fn answered<D: Dialect, C: Clock>(
    exchange: &Exchange<'_, D, C>,
    client: &mut Client,
    delivery: &mut Delivery,
    connection: Connection,
    head: Head,
) -> Outcome {
    let mut metadata = ResponseMetadata {
        misdirected: head.status == 421,
        ..ResponseMetadata::default()
    };
    for (name, value) in head.iter() {
        exchange
            .shared
            .dialect
            .read_response_header(head.status, name, value, &mut metadata);
    }
    let expected = Expected {
        id: &exchange.request.id,
        method: &exchange.request.method,
    };
    match classify_response(&head, &metadata, &expected) {
        ResponseClass::Unusable(event) => {
            exchange.close(connection);
            exchange.worker_failed(event)
        }
        ResponseClass::Misdirected => {
            exchange.close(connection);
            exchange.outcome(AttemptOutcome::Misdirected);
            Outcome::AttemptEnded
        }
        ResponseClass::NotRun(framing) => {
            let mut decoder = Decoder::new(framing);
            let most = REFUSAL_BODY_MS.min(exchange.time_left());
            let _ = read_whole(exchange, client, connection, &head, &mut decoder, most).await;
            exchange.outcome(AttemptOutcome::Rejected(metadata.load));
            Outcome::AttemptEnded
        }
        ResponseClass::Own(framing) => {
            exchange.progressed(Event::HeadReceived);
            let (load, slow_start_ms) = (metadata.load, metadata.warmup_remaining_ms);
            exchange.outcome(AttemptOutcome::HeadReceived {
                load,
                slow_start_ms,
            });
            deliver(exchange, client, delivery, connection, head, framing).await
        }
    }
}

/// Brings the request's own answer to the client.
async fn deliver<D: Dialect, C: Clock>(
    exchange: &Exchange<'_, D, C>,
    client: &mut Client,
    delivery: &mut Delivery,
    connection: Connection,
    head: Head,
    framing: Framing,
) -> Outcome {
    let success = (200..300).contains(&head.status);
    if success && exchange.route.kind == Kind::Stream {
        return relay(exchange, client, delivery, connection, head, framing).await;
    }
    if delivery.head_sent {
        // only a stream can continue a stream
        exchange.close(connection);
        return exchange.worker_failed(Event::Malformed);
    }
    let mut decoder = Decoder::new(framing);
    let most = exchange.time_left();
    let body = read_whole(exchange, client, connection, &head, &mut decoder, most).await;
    let body = match body {
        Ok(body) => body,
        Err(event) => return ended(exchange, client, delivery, event).await,
    };
    let bytes = whole_answer(client, &head, &body);
    // a worker's failure is its answer, unless another may do better
    let try_another = head.status >= 500 && exchange.may_move(0);
    exchange.outcome(AttemptOutcome::Completed(head.status));
    if try_another {
        delivery.failure = Some(bytes);
        return Outcome::AttemptEnded;
    }
    exchange.progressed(Event::ClientDone);
    let keep_alive = client.write(&bytes).await;
    Outcome::Finished { keep_alive }
}
