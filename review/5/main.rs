//! Case 5: a configuration that grew by an acknowledged edit to just under the largest
//! size cannot be read back by any core once their processes were killed.
#[path = "../stand-ins-2/lib.rs"]
mod lib;

use lib::*;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The largest size that the operator's interface takes, in bytes.
const LARGEST: usize = 4 << 20;
/// How far below it the edit leaves the configuration, in the system's own count.
const BELOW: usize = 16;
/// `recoverS` of the site.
const RECOVER_S: u64 = 12;

/// A route as the operator sends it, and its length as the system stores it.
fn route(number: usize, pad: usize) -> (String, usize) {
    let name = format!("r{number:05}{}", "x".repeat(pad));
    let sent = format!("{{\"name\":\"{name}\",\"host\":\"press.example\",\"pfx\":\"/p{number:05}/\",\"type\":\"idem\",\"tmoMs\":2500,\"sloMs\":400,\"prio\":1,\"svc\":\"pages\",\"tries\":2}}");
    let stored = format!("{{\"aim_ms\":400,\"attempts\":2,\"host\":\"press.example\",\"kind\":\"idempotent\",\"name\":\"{name}\",\"prefix\":\"/p{number:05}/\",\"priority\":1,\"service\":\"pages\",\"timeout_ms\":2500}}");
    (sent, stored.len())
}

fn main() {
    let record = Record::create(Path::new("review/5/record.txt"));
    let d = Deployment::new(record.clone(), 3, 0);
    let runs = Runs::default();
    for (zone, _) in ZONES {
        let ip = d.provider.ip().to_string().parse().expect("an IPv4 address");
        let id = format!("w-{zone}");
        let addr = start_worker(&record, &runs, ip, &id, zone, Duration::from_millis(10));
        d.platform.list.lock().unwrap().push(Entry {
            id,
            svc: "pages".into(),
            addr,
            az: zone.into(),
            st: "ready".into(),
            slots: 8,
        });
    }
    d.start_all();
    sleep(Duration::from_millis(1500));
    // the length of the parts as they are stored
    let service = r#"{"health":"/healthz","max_conns":130,"name":"pages","proto":"h1","tls":false}"#;
    let rest = r#"{"limits":{"body_bytes":4194304,"header_bytes":16384,"header_ms":3000,"idle_ms":15000}}"#;
    let mut stored = 2 + rest.len() + service.len() + 1;
    let mut number = 0;
    let mut until = |limit: usize| {
        let mut routes = Vec::new();
        while stored + 400 < limit {
            let (sent, length) = route(number, 0);
            routes.push(sent);
            stored += length + 1;
            number += 1;
        }
        routes
    };
    let first = until(1_500_000);
    let mut second = until(LARGEST);
    // the last route's name makes up the rest
    let (_, shortest) = route(number, 0);
    let pad = LARGEST - BELOW - stored - shortest - 1;
    second.push(route(number, pad).0);
    let configuration = format!(
        "{{\"ver\":1,\"routes\":[{}],\"svcs\":[{{\"name\":\"pages\",\"hcPath\":\"/healthz\",\"maxconn\":130,\"proto\":\"h1\",\"tls\":false}}],\"lim\":{{\"hdrBytes\":16384,\"bodyBytes\":4194304,\"hdrMs\":3000,\"idleMs\":15000}}}}",
        first.join(",")
    );
    record.say(format!("{} routes in {} bytes, then an edit of {} routes in {} bytes", first.len(), configuration.len(), second.len(), second.join(",").len()));
    let json = ("Content-Type", "application/json");
    if d.order(&[0, 1, 2], "/api/config/replace", &[("Sorreldoor-Base-Version", "0"), json], &configuration) != 200 {
        record.say("the first configuration was not taken");
        d.end(2);
    }
    d.wait_until_ready();
    let edit = format!("{{\"ver\":2,\"upsert\":{{\"routes\":[{}]}}}}", second.join(","));
    if d.order(&[1, 2, 0], "/api/config/edit", &[("Sorreldoor-Base-Version", "1"), json], &edit) != 200 {
        record.say("the edit was not taken");
        d.end(2);
    }
    let read = |machine: usize| {
        let answer = call(d.addr(machine, "ctl"), "GET", "/api/config/get", &[], b"", Duration::from_secs(2));
        let body = answer.filter(|a| a.status == 200).map(|a| a.body);
        let text = body.map(|b| String::from_utf8_lossy(&b).into_owned());
        text.filter(|t| t.contains("\"ver\":2") && t.matches("\"pfx\":").count() == first.len() + second.len())
    };
    sleep(Duration::from_millis(3000));
    if !(0..3).any(|m| read(m).is_some()) {
        record.say("the configuration was not read back before the disruption");
        d.end(2);
    }
    if trouble() {
        for machine in 0..3 {
            d.kill(machine, "core");
        }
        record.note("all processes of the core were killed");
        sleep(Duration::from_millis(700));
        for machine in 0..3 {
            d.start(machine, "core");
        }
        record.note("all processes of the core were started again, with their disks");
    }
    // a process that ends is started again; the operator asks all nodes in turn
    let limit = Instant::now() + Duration::from_secs(RECOVER_S + 8);
    let mut ends = 0;
    let mut found = false;
    while Instant::now() < limit && !found {
        for machine in 0..3 {
            if d.has_ended(machine, "core") {
                ends += 1;
                record.note(format!("the core process of {} has ended by itself", d.machines[machine].name));
                d.start(machine, "core");
            }
        }
        for machine in 0..3 {
            found |= read(machine).is_some();
        }
        record.note(format!("operator: the configuration {}", if found { "was read back" } else { "did not come" }));
        sleep(Duration::from_millis(500));
    }
    for machine in 0..3 {
        let log = d.root.join(format!("{}-core.log", d.machines[machine].name));
        let text = std::fs::read_to_string(log).unwrap_or_default();
        if let Some(line) = text.lines().find(|l| l.contains("panicked")) {
            let at = text.lines().skip_while(|l| !l.contains("panicked")).nth(1).unwrap_or("");
            record.note(format!("log of {}: {line} {at}", d.machines[machine].name));
        }
    }
    record.say(format!(
        "the acknowledged configuration {}; {ends} ends of core processes by themselves",
        if found { "was read back" } else { "did not come back from any node" }
    ));
    d.end(if found { 0 } else { 1 });
}
