//! Stand-in for the platform: it keeps the worker list and serves it.

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
struct List {
    version: u64,
    rows: Vec<WorkerRow>,
}

pub struct StubPlatform {
    pub addr: SocketAddr,
    list: Arc<Mutex<List>>,
}

impl StubPlatform {
    pub async fn start(addr: Option<SocketAddr>) -> io::Result<StubPlatform> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let l = TcpListener::bind(addr.unwrap_or(any)).await?;
        let addr = l.local_addr()?;
        let list: Arc<Mutex<List>> = Arc::default();
        let shown = list.clone();
        task::spawn(http::serve(
            l,
            1024,
            http::ShutdownHandle::default(),
            move |r, _| show(shown.clone(), r),
        ));
        Ok(StubPlatform { addr, list })
    }

    /// Change the list; every change raises its serial.
    pub fn change(&self, f: impl FnOnce(&mut Vec<WorkerRow>)) {
        let mut l = lock(&self.list);
        f(&mut l.rows);
        l.version += 1;
    }
}

async fn show(list: Arc<Mutex<List>>, req: Request) -> Response {
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
