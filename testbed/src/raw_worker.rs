//! A web worker that reports its load and answers every other request with given bytes,
//! which need not be valid HTTP.

use crate::sync::lock;
use async_std::io::prelude::*;
use async_std::io::{self, BufReader};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

pub struct RawWorker {
    pub addr: SocketAddr,
    response: Arc<Mutex<Vec<u8>>>,
}

impl RawWorker {
    pub async fn start(name: &str) -> io::Result<RawWorker> {
        let l = TcpListener::bind("127.0.0.1:0").await?;
        let addr = l.local_addr()?;
        let response: Arc<Mutex<Vec<u8>>> = Arc::default();
        let (name, shared) = (name.to_string(), response.clone());
        task::spawn(async move {
            while let Ok((s, _)) = l.accept().await {
                let (name, response) = (name.clone(), lock(&shared).clone());
                task::spawn(async move { answer_connection(s, &name, &response).await });
            }
        });
        Ok(RawWorker { addr, response })
    }

    /// Sets the bytes that answer all later connections.
    pub fn set_response(&self, bytes: &[u8]) {
        *lock(&self.response) = bytes.to_vec();
    }
}

async fn answer_connection(s: TcpStream, name: &str, response: &[u8]) -> io::Result<()> {
    let mut from = BufReader::new(s.clone());
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).await? == 0 {
            return Ok(());
        }
    }
    let load = format!(
        r#"{{"worker":{name:?},"running":0,"queued":0,"slots":16,"finished":99,"adapters":[],"weights":"raw"}}"#
    );
    let n = load.len();
    let load_response = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {n}\r\n\r\n{load}"
    );
    let text = if head.starts_with("GET /load ") {
        load_response.as_bytes()
    } else {
        response
    };
    let mut s = s;
    s.write_all(text).await?;
    s.flush().await
}
