//! Stand-ins for the reviewer's scripts: machines that run the project's own programs, the
//! platform's list of workers, workers, the operator and clients. Only the standard library is
//! used, so that it builds without a network: see `build.sh`.

mod drain;
mod fleet;
mod founding;
mod http;
mod operator;
mod platform;
mod record;
mod spoiled;

use std::process::exit;

/// Exit codes of a case.
const HELD: i32 = 0;
const BROKEN: i32 = 1;
const COULD_NOT_RUN: i32 = 2;

/// What a case has shown.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record_path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        exit(COULD_NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = record::Record::create(record_path) else {
        eprintln!("standins: {record_path} cannot be written");
        exit(COULD_NOT_RUN);
    };
    let result = match case.as_str() {
        "drain" => drain::run(&record, trouble),
        "founding" => founding::run(&record, trouble),
        "spoiled" => spoiled::run(&record, trouble),
        other => Err(format!("there is no case {other:?}")),
    };
    let code = match result {
        Ok(Verdict::Held(why)) => {
            record.write(&format!("verdict: the rule held: {why}"));
            HELD
        }
        Ok(Verdict::Broken(why)) => {
            record.write(&format!("verdict: the rule is broken: {why}"));
            BROKEN
        }
        Err(why) => {
            record.write(&format!("verdict: the case could not run: {why}"));
            COULD_NOT_RUN
        }
    };
    exit(code);
}
