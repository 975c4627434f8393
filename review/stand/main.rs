//! The cases of the review: `stand CASE on|off RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `off` the disruption is left out.

mod pieces;
mod platform;
mod shutdown;
mod unfinished;

use platform::{end_all, Record};
use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, disruption, path] = arguments.as_slice() else {
        eprintln!("usage: stand CASE on|off RECORD");
        std::process::exit(2);
    };
    let with_trouble = match disruption.as_str() {
        "on" => true,
        "off" => false,
        _ => {
            eprintln!("the disruption is on or off, not {disruption}");
            std::process::exit(2);
        }
    };
    let run = match case.as_str() {
        "pieces" => pieces::run,
        "shutdown" => shutdown::run,
        "unfinished" => unfinished::run,
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        eprintln!("the case took too long");
        end_all();
        std::process::exit(2);
    });
    let record = Record::new();
    let shared = record.clone();
    let result =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(with_trouble, &shared)));
    end_all();
    let code = match result {
        Ok(broken) if broken.is_empty() => 0,
        Ok(broken) => {
            for line in &broken {
                record.add(format!("BROKEN: {line}"));
            }
            println!("rule broken {} times, first: {}", broken.len(), broken[0]);
            1
        }
        Err(_) => 2,
    };
    record.add(format!(
        "exit code {code}, disruption {}",
        if with_trouble { "on" } else { "off" }
    ));
    record.write(path);
    std::process::exit(code);
}
