//! What a server knows of the client's end of a connection: whether it is still there,
//! and how long ago it may have sent a request.

use async_std::channel::{bounded, Receiver, Sender};
use async_std::net::TcpListener;
use async_std::task;
use http_types::Request;
use sorreldoor::http::{self, Peer, RequestAge, ShutdownHandle, ACCEPT_DELAY};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

const PAUSE: Duration = Duration::from_millis(300);

/// What the server observes of each request.
struct Observed {
    disconnected: bool,
    age: RequestAge,
}

/// A server that reads each request, looks at its peer once the test says so, and then
/// responds.
struct Server {
    addr: SocketAddr,
    proceed: Sender<()>,
    observed: Receiver<Observed>,
}

fn start_server() -> Server {
    let (proceed, may_proceed) = bounded::<()>(8);
    let (report, observed) = bounded(8);
    let handler = move |_: Request, peer: Peer| {
        let (may_proceed, report) = (may_proceed.clone(), report.clone());
        async move {
            let _ = may_proceed.recv().await;
            let seen = Observed {
                disconnected: peer.has_disconnected().await,
                age: peer.request_age(),
            };
            let _ = report.send(seen).await;
            http::json(200, "{}".into())
        }
    };
    let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("a port");
    let addr = listener.local_addr().expect("an address");
    task::spawn(http::serve(listener, 8, ShutdownHandle::default(), handler));
    Server {
        addr,
        proceed,
        observed,
    }
}

impl Server {
    fn observe(&self) -> Observed {
        self.proceed.try_send(()).expect("room in the channel");
        task::block_on(self.observed.recv()).expect("a request")
    }
}

fn send(stream: &mut TcpStream) {
    let head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(head).expect("an open connection");
}

fn read_response(stream: &mut TcpStream) {
    let mut response = Vec::new();
    while !response.ends_with(b"{}") {
        let mut byte = [0; 1];
        assert_eq!(stream.read(&mut byte).expect("a response"), 1);
        response.push(byte[0]);
    }
}

#[test]
fn a_client_that_waits_is_there_and_one_that_has_closed_is_not() {
    let server = start_server();
    let mut waiting = TcpStream::connect(server.addr).expect("a connection");
    send(&mut waiting);
    std::thread::sleep(PAUSE);
    assert!(!server.observe().disconnected);
    read_response(&mut waiting);
    for half_closed in [false, true] {
        let mut leaving = TcpStream::connect(server.addr).expect("a connection");
        send(&mut leaving);
        if half_closed {
            leaving.shutdown(Shutdown::Write).expect("an open side");
            std::thread::sleep(PAUSE);
        } else {
            drop(leaving);
            std::thread::sleep(PAUSE);
        }
        assert!(server.observe().disconnected, "{half_closed}");
    }
}

#[test]
fn a_request_is_as_old_as_its_connection_or_the_response_before_it() {
    let server = start_server();
    let mut stream = TcpStream::connect(server.addr).expect("a connection");
    std::thread::sleep(PAUSE);
    send(&mut stream);
    let first = server.observe().age;
    // the bytes came just now, but the client may have sent them at once
    assert!(first.upper_bound() >= PAUSE + ACCEPT_DELAY);
    read_response(&mut stream);
    let responded = std::time::Instant::now();
    std::thread::sleep(PAUSE);
    send(&mut stream);
    let second = server.observe().age;
    let bound = second.upper_bound();
    assert!(bound >= PAUSE && bound < first.upper_bound());
    // at most the time since the response, and what it took to arrive
    assert!(bound <= responded.elapsed() + PAUSE, "{bound:?}");
}
