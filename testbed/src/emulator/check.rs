//! Checks of invariants over the records of a finished run. Each violation begins with
//! the name of its invariant, such as `TWICE:`.

use super::*;

/// The violations of a finished run, at most three of each invariant.
pub fn check(w: &World) -> Vec<String> {
    let kind = |s: &String| s.split(':').next().map(str::to_string);
    let mut found: HashMap<Option<String>, u32> = HashMap::new();
    let first_cases = |s: &&String| {
        let n = found.entry(kind(s)).or_default();
        *n += 1;
        *n <= 3
    };
    let mut out: BTreeSet<String> = w.violations.iter().filter(first_cases).cloned().collect();
    let parts: [fn(&World) -> Vec<String>; 7] = [
        check_single_run,
        check_homes,
        check_evacuations,
        check_drains,
        check_routes,
        check_no_open_requests,
        check_retry_budgets,
    ];
    for f in parts {
        out.extend(f(w).into_iter().take(3));
    }
    out.extend(check_slow_starts(w).into_iter().take(3));
    out.into_iter().collect()
}

impl World {
    /// Whether a node has had no fault of its own for `contact_ms` before `at`.
    fn connected_to_control_plane(&self, n: usize, at: Micros) -> bool {
        let span = micros(self.mix.bounds.contact_ms as f64);
        let fault_spans = |(a, b): &(Micros, Micros)| *a <= at && at < b.saturating_add(span);
        !self.nodes[n].fault_spans.iter().any(fault_spans)
    }

    fn class(&self, t: usize) -> &ClassMix {
        &self.mix.classes[self.client_requests[self.client_attempts[t].request_index].class]
    }

    /// Records a 404: every configuration that may be in force has the route.
    pub(super) fn check_status(&mut self, t: usize, status: u16) {
        if status == 404 {
            let c = self.class(t).name.clone();
            self.violations
                .insert(format!("DENIED: {c} was answered 404"));
        }
    }

    /// Records a request that the node neither sent to a worker nor rejected before the
    /// client timed out.
    pub(super) fn check_never_sent(&mut self, t: usize) {
        let x = &self.client_attempts[t];
        // a client that times out sooner may leave the request undecided
        let decision_time = micros(self.class(t).aim_ms as f64 / 4.0 + 50.0);
        if x.worker_attempts == 0
            && self.now > x.sent + decision_time
            && self.connected_to_control_plane(x.node, self.now)
        {
            let (c, ms) = (&self.class(t).name, x.sent / 1000);
            let s = format!(
                "END: {c} attempt sent at {ms} ms was held for {} ms and never sent to a worker",
                (self.now - x.sent) / 1000
            );
            self.violations.insert(s);
        }
    }

    /// Services that a request sent at `at` may reach at `now`, by the configurations in
    /// force in between.
    fn allowed(&self, class: usize, at: Micros, now: Micros) -> Vec<usize> {
        let span = micros(self.mix.bounds.apply_ms as f64);
        let old = |i: &usize| {
            let next = self.configuration_versions.get(i + 1);
            self.configuration_versions[*i].0 <= now && next.is_none_or(|(t, _)| t + span >= at)
        };
        (0..self.configuration_versions.len())
            .filter(old)
            .flat_map(|i| &self.configuration_versions[i].1.routes[class].split)
            .map(|(s, _)| *s as usize)
            .collect()
    }
}

fn check_single_run(w: &World) -> Vec<String> {
    let mut out = Vec::new();
    for (t, x) in w.client_attempts.iter().enumerate() {
        let c = w.class(t);
        if c.repeatable() {
            continue;
        }
        if x.ran.len() > 1 {
            out.push(format!(
                "TWICE: {} attempt {t} ran {} times",
                c.name,
                x.ran.len()
            ));
        }
        if x.rejected && !x.ran.is_empty() {
            out.push(format!(
                "REFUSED: {} attempt {t} was rejected and ran",
                c.name
            ));
        }
    }
    out
}

fn check_homes(w: &World) -> Vec<String> {
    let violates = |a: &&Arrival| {
        let h = &w.class(a.client_attempt).homes;
        !a.misdirected && !h.is_empty() && !h.contains(&w.workers[a.worker].region)
    };
    let describe = |a: &Arrival| {
        format!(
            "HOME: attempt {} arrived at {} outside its homes",
            a.client_attempt, w.workers[a.worker].name
        )
    };
    w.arrivals.iter().filter(violates).map(describe).collect()
}

fn check_evacuations(w: &World) -> Vec<String> {
    let span = micros(w.mix.bounds.evac_ms as f64);
    let violates = |a: &&Arrival| {
        let z = w.workers[a.worker].zone;
        let hit = |e: &Evacuation| e.zone == z && a.at > e.from + span && a.at < e.to;
        !a.misdirected
            && w.evacuations.iter().any(hit)
            && w.connected_to_control_plane(a.node, a.sent)
    };
    let describe = |a: &Arrival| {
        format!(
            "EVAC: request arrived in evacuated zone {} at {} ms",
            w.workers[a.worker].zone,
            a.at / 1000
        )
    };
    w.arrivals.iter().filter(violates).map(describe).collect()
}

fn check_drains(w: &World) -> Vec<String> {
    let violates = |a: &&Arrival| {
        let closed_at = w.workers[a.worker].closed_at;
        !a.misdirected
            && closed_at.is_some_and(|t| a.at > t)
            && w.connected_to_control_plane(a.node, a.sent)
    };
    let describe = |a: &Arrival| {
        let x = &w.workers[a.worker];
        format!(
            "DRAIN: {} draining since {:?} us, request arrived at {} us",
            x.name, x.leaving, a.at
        )
    };
    w.arrivals.iter().filter(violates).map(describe).collect()
}

fn check_routes(w: &World) -> Vec<String> {
    let mut out = Vec::new();
    for a in w.arrivals.iter().filter(|a| !a.misdirected) {
        let t = &w.client_attempts[a.client_attempt];
        let class = w.client_requests[t.request_index].class;
        let service_index = w.workers[a.worker].service_index;
        let ever = |(_, h): &(Micros, Arc<Hosted>)| {
            h.routes[class]
                .split
                .iter()
                .any(|(s, _)| *s as usize == service_index)
        };
        if !w.configuration_versions.iter().any(ever) {
            out.push(format!(
                "ROUTE: attempt {} at a service that no configuration routes it to",
                a.client_attempt
            ));
        }
        if !w.allowed(class, t.sent, a.at).contains(&service_index)
            && w.connected_to_control_plane(a.node, a.sent)
        {
            out.push(format!(
                "CONFIG: attempt {} sent at {} us by an outdated route",
                a.client_attempt, t.sent
            ));
        }
    }
    out
}

fn check_no_open_requests(w: &World) -> Vec<String> {
    let mut out = Vec::new();
    let open = w.client_requests.iter().filter(|a| a.end.is_none()).count();
    if open > 0 {
        out.push(format!("END: {open} requests never ended"));
    }
    for (i, x) in w.nodes.iter().enumerate() {
        let (open, waiting) = x.policy.open();
        if x.up && (open > 0 || waiting > 0 || !x.in_progress.is_empty()) {
            let n = x.in_progress.len();
            out.push(format!(
                "END: node {i} has {open} requests open in its policy, {waiting} waiting, {n} in progress"
            ));
        }
    }
    let left = w.unanswered_tasks();
    if left > 0 {
        out.push(format!("END: {left} tasks left at engines"));
    }
    out
}

/// How many of the sorted times `v` lie after `a` and up to `b`.
fn within(v: &[Micros], a: Micros, b: Micros) -> usize {
    v.partition_point(|t| *t <= b) - v.partition_point(|t| *t <= a)
}

fn check_retry_budgets(w: &World) -> Vec<String> {
    let b = &w.mix.bounds;
    let span = micros(b.retry_window_ms as f64);
    let mut out = Vec::new();
    for (s, service_index) in w.mix.services.iter().enumerate() {
        let mut found = HashSet::new();
        let mut retries: Vec<Micros> = Vec::new();
        for a in w
            .arrivals
            .iter()
            .filter(|a| w.workers[a.worker].service_index == s)
        {
            if !found.insert(a.client_attempt) {
                retries.push(a.at);
            }
        }
        let on = |t: &&ClientAttempt| {
            let c = w.client_requests[t.request_index].class;
            w.allowed(c, t.sent, t.sent).contains(&s)
        };
        let mut requested: Vec<Micros> = w
            .client_attempts
            .iter()
            .filter(on)
            .map(|t| t.sent)
            .collect();
        requested.sort_unstable();
        retries.sort_unstable();
        for end in retries.iter().flat_map(|t| [*t, *t + span - 1]) {
            let from = |n: Micros| end.saturating_sub(n);
            let base = within(&requested, from(span), end)
                .max(within(&requested, from(2 * span), from(span)))
                .max(within(&requested, from(span + span / 2), from(span / 2)));
            let n = within(&retries, from(span), end);
            let limit = b.retry_ratio * base as f64 + b.retry_slack;
            if n as f64 > limit {
                out.push(format!(
                    "BUDGET: {} got {n} retries within the window up to {} ms, limit {limit:.0}",
                    service_index.name,
                    end / 1000
                ));
                break;
            }
        }
    }
    out
}

fn check_slow_starts(w: &World) -> Vec<String> {
    let b = &w.mix.bounds;
    let mut by: HashMap<usize, Vec<(Micros, Micros)>> = HashMap::new();
    for a in w.arrivals.iter().filter(|a| !a.misdirected) {
        let slow_start = w.workers[a.worker].slow_start.iter();
        if slow_start.clone().any(|(f, t)| (*f..*t).contains(&a.at)) {
            by.entry(a.worker).or_default().push((a.at, a.sent));
        }
    }
    let mut out = Vec::new();
    for (i, v) in by {
        let x = &w.workers[i];
        let limit = w.mix.services[x.service_index].warmup_per_s * b.warmup_excess + b.warmup_slack;
        let worst = v.iter().map(|(end, _)| {
            let from = end.saturating_sub(micros(1000.0));
            let hit = |(at, sent): &&(Micros, Micros)| *at <= *end && *sent > from;
            v.iter().filter(hit).count()
        });
        let worst = worst.max().unwrap_or(0);
        if worst as f64 > limit {
            out.push(format!(
                "FAILBACK: {} got {worst} requests in a second of slow start, limit {limit:.0}",
                x.name
            ));
        }
    }
    out.sort();
    out
}
