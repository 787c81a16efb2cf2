//! Stand-ins for the platform, its clients and its servers, and the cases that use them.

mod client;
mod host;
mod lab;
mod late_copy;
mod packet;
mod silent_store;
mod store;
mod stream;

fn main() {
    let mut words = std::env::args().skip(1);
    let (case, file) = (words.next().unwrap_or_default(), words.next());
    let record = lab::Record::create(&file.unwrap_or_else(|| "record.txt".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(&format!("case {case}, trouble: {trouble}"));
    let run = || match case.as_str() {
        "late_copy" => late_copy::run(&record, trouble),
        "silent_store" => silent_store::run(&record, trouble),
        _ => 2,
    };
    // A case that cannot go on, for example because an address is in use, shows nothing.
    let status = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).unwrap_or(2);
    record.say(&format!("status {status}"));
    std::process::exit(status);
}
