//! One request to a worker and its answer back: sendings one after the other
//! as the table says, until the caller has its answer or there is none.

use super::answer::plain;
use super::body::Decoder;
use super::client::Client;
use super::dialect::{Dialect, Forward, Told};
use super::http1::{take_answer, Head};
use super::listen::{listen, Woke};
use super::pool::{Line, FRESH};
use super::shared::Shared;
use super::stream::{relay, Flow};
use super::table::{Heard, Pick, Rid, Target};
use crate::consensus::Millis;
use crate::problem::Problem;
use crate::seam::Clock;
use crate::setup::hosted::{Kind, Route};
use async_std::future::timeout;
use async_std::io::prelude::WriteExt;
use async_std::task::sleep;
use futures_lite::future::or;
use std::time::Duration;

/// A connection that does not come up within this is given up.
const CONNECT_MS: u64 = 400;
/// A worker's whole answer in memory, at most.
const MOST_ANSWER: usize = 32 << 20;
/// Idle connections are taken again within this, for what may run twice.
const ANY_AGE: Duration = Duration::from_secs(3600);
/// Silence at a worker is not taken for its end before this.
const LEAST_PATIENCE: Millis = 400;
const LEAST_SMALL: Millis = 150;
/// Between looks at whether a silent worker is to be left.
pub const LOOK: Millis = 100;

/// What every sending of one request shares.
pub struct Job {
    pub rid: Rid,
    pub method: String,
    pub id: String,
    /// Request line and headers that pass on, without the empty line.
    pub wire: Vec<u8>,
    pub body: Vec<u8>,
    pub last_event: Option<u64>,
}

/// What came of one sending.
pub enum Sent {
    /// The caller has its answer; whether the connection may go on.
    Answered(bool),
    /// The table has been told; ask it again.
    Again,
}

/// One sending under way.
pub struct Sending<'a, D, C> {
    pub sh: &'a Shared<D, C>,
    pub job: &'a Job,
    pub to: &'a Target,
    pub route: &'a Route,
    pub deadline: Millis,
}

impl<D: Dialect, C: Clock> Sending<'_, D, C> {
    pub fn now(&self) -> Millis {
        self.sh.now()
    }
    pub fn left(&self) -> Millis {
        self.deadline.saturating_sub(self.now())
    }
    pub fn heard(&self, h: Heard) {
        let now = self.now();
        self.sh.lock().table.heard(self.job.rid, h, now);
        self.sh.wake();
    }
    /// The line is of no more use.
    pub fn drop_line(&self, line: Line) {
        drop(line);
        self.sh.pool.lost(self.to.worker);
    }
    /// Whether another worker could take it from here, its own having been
    /// silent for so long.
    pub fn may_move(&self, silent: Millis) -> bool {
        let now = self.now();
        self.sh.lock().table.may_move(self.job.rid, silent, now)
    }
    /// Its worker lives.
    pub fn pulse(&self) {
        let now = self.now();
        self.sh.lock().table.pulse(self.job.rid, now);
    }
}

pub async fn carry<D: Dialect, C: Clock>(sh: &Shared<D, C>, c: &mut Client, job: &Job) -> bool {
    let mut flow = Flow::new(job.last_event);
    loop {
        let now = sh.now();
        let (pick, route, deadline) = {
            let mut f = sh.lock();
            let p = f.table.pick(job.rid, now);
            let r = f.table.route(job.rid).cloned();
            (p, r, f.table.deadline(job.rid))
        };
        let to = match pick {
            Pick::Go(t) => t,
            Pick::Wait(ms) => {
                if !wait(sh, c, job.rid, ms).await {
                    return false;
                }
                continue;
            }
            Pick::Refuse(p, again) => {
                if flow.head_sent {
                    // what stops here must not look like the end
                    return false;
                }
                if let Some(b) = flow.failed.take() {
                    return c.write(&b).await;
                }
                return c.answer(p, again).await;
            }
        };
        let Some(route) = route else {
            return c.answer(Problem::UnknownRoute, 0).await;
        };
        let s = Sending {
            sh,
            job,
            to: &to,
            route: &route,
            deadline,
        };
        match send(&s, c, &mut flow).await {
            Sent::Answered(keep) => return keep,
            Sent::Again => {}
        }
    }
}

/// Until woken or the time is over; false once the caller is gone.
async fn wait<D: Dialect, C: Clock>(sh: &Shared<D, C>, c: &Client, rid: Rid, ms: Millis) -> bool {
    let rx = sh.wait(rid);
    let woken = async {
        let _ = rx.recv().await;
        true
    };
    let late = async {
        sleep(Duration::from_millis(ms.max(1))).await;
        true
    };
    let gone = async {
        c.gone().await;
        false
    };
    let on = or(woken, or(late, gone)).await;
    sh.waited(rid);
    on
}

async fn line_to<D: Dialect, C: Clock>(s: &Sending<'_, D, C>) -> Option<Line> {
    // what may run once must not go out where an old end may be on its way
    let within = if s.route.repeatable() { ANY_AGE } else { FRESH };
    let within = if s.to.fresh { Duration::ZERO } else { within };
    if let Some(l) = s.sh.pool.take(s.to.worker, within) {
        return Some(l);
    }
    let ms = CONNECT_MS.min(s.left().max(1));
    let to = s.sh.reached(s.to.addr);
    let got = timeout(Duration::from_millis(ms), Line::connect(to)).await;
    let got = got.ok().and_then(|r| r.ok());
    if got.is_none() {
        s.sh.pool.lost(s.to.worker);
    }
    got
}

async fn send<D: Dialect, C: Clock>(
    s: &Sending<'_, D, C>,
    c: &mut Client,
    flow: &mut Flow,
) -> Sent {
    let Some(mut line) = line_to(s).await else {
        s.heard(Heard::NoConn);
        return Sent::Again;
    };
    let mut b = Vec::with_capacity(s.job.wire.len() + s.job.body.len() + 192);
    b.extend_from_slice(&s.job.wire);
    let f = Forward {
        worker: &s.to.name,
        left_ms: s.left(),
        priority: s.to.priority,
        last_event: flow.last,
    };
    s.sh.dialect.forward(&f, &mut b);
    b.extend_from_slice(b"\r\n");
    b.extend_from_slice(&s.job.body);
    let within = Duration::from_millis(s.left().max(1));
    let wrote = timeout(within, line.s.write_all(&b)).await;
    drop(b);
    if !matches!(wrote, Ok(Ok(()))) {
        s.drop_line(line);
        s.heard(Heard::Broke);
        return Sent::Again;
    }
    let head = match answer_head(s, c, &mut line).await {
        Ok(h) => h,
        Err(h) => {
            s.drop_line(line);
            return ended(s, c, flow, h).await;
        }
    };
    let mut told = Told {
        misdirected: head.status == 421,
        ..Told::default()
    };
    for (n, v) in head.iter() {
        s.sh.dialect.tell(head.status, n, v, &mut told);
    }
    answered(s, c, flow, line, head, told).await
}

/// The sending ended without an answer that can be used.
async fn ended<D: Dialect, C: Clock>(
    s: &Sending<'_, D, C>,
    c: &mut Client,
    flow: &Flow,
    h: Heard,
) -> Sent {
    let left = h == Heard::Left;
    let late = s.left() == 0;
    s.heard(h);
    if left {
        return Sent::Answered(false);
    }
    if late && !flow.head_sent {
        return Sent::Answered(c.answer(Problem::DeadlinePassed, 0).await);
    }
    Sent::Again
}

/// The head of the answer, or how the wait for it ended.
async fn answer_head<D: Dialect, C: Clock>(
    s: &Sending<'_, D, C>,
    c: &Client,
    line: &mut Line,
) -> Result<Head, Heard> {
    let aim = Some(s.route.aim_ms).filter(|a| *a > 0);
    let small = s.route.kind == Kind::Idempotent;
    // a small answer that is lost is best asked for again while that is in time
    let (num, least) = if small {
        (6, LEAST_SMALL)
    } else {
        (10, LEAST_PATIENCE)
    };
    let patience = aim.map_or(Millis::MAX / 4, |a| (a * num / 10).max(least));
    let since = s.now();
    let mut until = since.saturating_add(patience);
    loop {
        match take_answer(&mut line.buf) {
            Ok(Some(h)) if (100..200).contains(&h.status) => continue,
            Ok(Some(h)) => return Ok(h),
            Ok(None) => {}
            Err(_) => return Err(Heard::Broke),
        }
        let now = s.now();
        if now >= s.deadline {
            return Err(Heard::Broke);
        }
        if now >= until {
            // only if another may take it is it worth leaving this one; a
            // worker that speaks to others is slow, but not for twice as long
            let slow = small || now >= since.saturating_add(2 * patience);
            if s.may_move(if slow { 0 } else { patience }) {
                return Err(Heard::Broke);
            }
            until = now + LOOK;
        }
        let ms = until.min(s.deadline) - now;
        match listen(line, Some(c), ms).await {
            Woke::Read | Woke::Late => {}
            Woke::Broke => return Err(Heard::Broke),
            Woke::Gone => return Err(Heard::Left),
        }
    }
}

async fn answered<D: Dialect, C: Clock>(
    s: &Sending<'_, D, C>,
    c: &mut Client,
    flow: &mut Flow,
    line: Line,
    head: Head,
    told: Told,
) -> Sent {
    let other = told.id.as_ref().is_some_and(|i| *i != s.job.id);
    let ok = (200..300).contains(&head.status);
    // a surplus answer stands where this one is due, and a success
    // without a stamp or id is nobody's
    if other || (ok && (!told.stamped || told.id.is_none())) {
        s.drop_line(line);
        s.heard(Heard::Broke);
        return Sent::Again;
    }
    if told.misdirected {
        s.drop_line(line);
        s.heard(Heard::Misdirected);
        return Sent::Again;
    }
    let Ok(framing) = head.answer_framing(&s.job.method) else {
        s.drop_line(line);
        s.heard(Heard::Broke);
        return Sent::Again;
    };
    let (load, cold_ms) = (told.load, told.cold_ms);
    if told.not_run {
        let mut d = Decoder::new(framing);
        let _ = whole(s, c, line, &head, &mut d).await;
        s.heard(Heard::NotRun(load));
        return Sent::Again;
    }
    s.heard(Heard::Head { load, cold_ms });
    if ok && s.route.kind == Kind::Stream {
        return relay(s, c, flow, line, head, framing).await;
    }
    if flow.head_sent {
        // a stream can only be taken up by a stream
        s.drop_line(line);
        s.heard(Heard::Broke);
        return Sent::Again;
    }
    let mut d = Decoder::new(framing);
    match whole(s, c, line, &head, &mut d).await {
        Err(h) => ended(s, c, flow, h).await,
        Ok(body) => {
            let bytes = plain(c, &head, &body);
            // a worker's failure is its answer, unless another may do better
            let again = head.status >= 500 && s.may_move(0);
            s.heard(Heard::Done(head.status));
            if again {
                flow.failed = Some(bytes);
                return Sent::Again;
            }
            Sent::Answered(c.write(&bytes).await)
        }
    }
}

/// Reads the rest of an answer whole, and keeps the line if it may be used again.
async fn whole<D: Dialect, C: Clock>(
    s: &Sending<'_, D, C>,
    c: &Client,
    mut line: Line,
    head: &Head,
    d: &mut Decoder,
) -> Result<Vec<u8>, Heard> {
    let mut out = Vec::new();
    loop {
        let done = d.run(&mut line.buf, &mut out);
        let h = match done {
            Ok(true) => break,
            Ok(false) if out.len() <= MOST_ANSWER => {
                match listen(&mut line, Some(c), s.left()).await {
                    Woke::Read => None,
                    Woke::Broke if d.ended() => break,
                    Woke::Gone => Some(Heard::Left),
                    Woke::Late | Woke::Broke => Some(Heard::Broke),
                }
            }
            Ok(false) | Err(_) => Some(Heard::Broke),
        };
        if let Some(h) = h {
            s.drop_line(line);
            return Err(h);
        }
    }
    give_back(s, line, head, d);
    Ok(out)
}

/// A line behind a whole answer: kept unless something speaks against it.
pub fn give_back<D: Dialect, C: Clock>(
    s: &Sending<'_, D, C>,
    line: Line,
    head: &Head,
    d: &Decoder,
) {
    // bytes behind a whole answer belong to no request
    if d.done() && !head.closes() && line.buf.is_empty() {
        s.sh.pool.give(s.to.worker, line, head.keep_alive_s());
    } else {
        s.drop_line(line);
    }
}
