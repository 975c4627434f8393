//! The stand-ins of the cases in `review/6` to `review/10`: the platform (discovery, counter, signals, memory limit), form
//! servers and clients of one small deployment, written from the users' pages. Standard library only.
//!
//! `stand CASE FOLDER` plays a case against the ingress that the deploy file names, writes `record.txt` to FOLDER and exits
//! with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod clients;
mod deployment;
mod platform;
mod record;
mod servers;
mod stalls;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // A case never lasts longer than this, whatever hangs. The deployment's processes are ended by the shell script.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        eprintln!("the case did not end in time");
        exit(2);
    });
    match cases::run(case, folder.as_ref(), has_trouble) {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}
