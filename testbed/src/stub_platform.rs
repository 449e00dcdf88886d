//! A stub of the platform that serves the list of workers over HTTP.

use crate::sync::lock;
use async_std::io;
use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Request, Response, StatusCode};
use simd_json::prelude::*;
use sorreldoor::http;
use sorreldoor::json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug)]
pub struct WorkerRow {
    pub name: String,
    pub addr: SocketAddr,
    pub group: String,
    pub zone: String,
    pub leaving: bool,
}

#[derive(Default)]
struct WorkerList {
    version: u64,
    rows: Vec<WorkerRow>,
}

pub struct StubPlatform {
    pub addr: SocketAddr,
    list: Arc<Mutex<WorkerList>>,
}

impl StubPlatform {
    pub async fn start(addr: Option<SocketAddr>) -> io::Result<StubPlatform> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let l = TcpListener::bind(addr.unwrap_or(any)).await?;
        let addr = l.local_addr()?;
        let list: Arc<Mutex<WorkerList>> = Arc::default();
        let shared = list.clone();
        task::spawn(http::serve(
            l,
            1024,
            http::ShutdownHandle::default(),
            move |r, _| respond(shared.clone(), r),
        ));
        Ok(StubPlatform { addr, list })
    }

    /// Changes the list and increments its version.
    pub fn change(&self, f: impl FnOnce(&mut Vec<WorkerRow>)) {
        let mut l = lock(&self.list);
        f(&mut l.rows);
        l.version += 1;
    }
}

async fn respond(list: Arc<Mutex<WorkerList>>, req: Request) -> Response {
    if req.method() != Method::Get || req.url().path() != "/workers" {
        return Response::new(StatusCode::NotFound);
    }
    let l = lock(&list);
    let rows: Vec<Value> = l
        .rows
        .iter()
        .map(|r| {
            let mut v = Value::object();
            let _ = v.insert("name", r.name.as_str());
            let _ = v.insert("addr", r.addr.to_string());
            let _ = v.insert("group", r.group.as_str());
            let _ = v.insert("zone", r.zone.as_str());
            let _ = v.insert("state", if r.leaving { "leaving" } else { "up" });
            v
        })
        .collect();
    let mut v = Value::object();
    let _ = v.insert("serial", l.version);
    let _ = v.insert("workers", rows);
    http::ok(v)
}
