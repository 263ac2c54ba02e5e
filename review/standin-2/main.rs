//! The cases of this review that need more than a day: `standin-2 CASE FOLDER`.

mod close;
mod extra;
mod kit;
mod seeds;
mod slow;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_default();
    let broken = match &*case {
        "close" => close::run(&folder),
        "extra" => extra::run(&folder),
        "seeds" => seeds::run(&folder),
        "slow" => slow::run(&folder),
        _ => kit::unable("usage: standin-2 CASE FOLDER"),
    };
    std::process::exit(i32::from(broken));
}
