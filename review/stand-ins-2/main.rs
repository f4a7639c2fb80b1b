//! The stand-ins and the order of events of the review's cases. The first argument names the case, the second
//! the folder of its record.

mod harness;
mod restart;
mod second_answer;
mod slow_answer;
mod slow_discovery;
mod stripped;

use harness::Record;
use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (name, folder) = (arguments[1].as_str(), Path::new(&arguments[2]));
    let record = Record::open(folder);
    match name {
        "restart" => restart::run(&record),
        "slow-answer" => slow_answer::run(&record),
        "stripped" => stripped::run(&record),
        "second-answer" => second_answer::run(&record),
        "slow-discovery" => slow_discovery::run(&record),
        _ => harness::finish(&record, 2),
    }
}
