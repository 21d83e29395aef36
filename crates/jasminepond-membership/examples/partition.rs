//! Measures what it costs that many daemons lose their servers at the same moment.
//!
//! Runs all daemons in one process and virtual time. Some announce that they reach no server,
//! and ten seconds later that they reach them again. Prints for each tier size the time until
//! all daemons know both, the bytes sent per daemon in the ten seconds before and after the
//! announcements, without IP and UDP headers, and the bytes of one announcement to all its
//! receivers.
//!
//! ```text
//! cargo run --release -p jasminepond-membership --example partition -- 73:43 3900:229
//! ```

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::Network;
use jasminepond_membership::{Output, Settings};

const PERIOD: Duration = Duration::from_secs(10);

fn main() {
    println!("daemons   lost  known  regained known  B before  B after  B announcement");
    for text in std::env::args().skip(1) {
        let (n, lost) = text.split_once(':').unwrap_or((&text, "1"));
        match (n.parse(), lost.parse()) {
            (Ok(n), Ok(lost)) if lost < n => measure(n, lost),
            _ => eprintln!("{text}: expected DAEMONS:LOST"),
        }
    }
}

fn measure(n: usize, lost: usize) {
    let mut net = Network::new(Settings::default(), 1);
    net.start_joined(n);
    net.run(3 * PERIOD);
    net.bytes = 0;
    net.run(PERIOD);
    let before = net.bytes / n as u64;
    net.bytes = 0;
    let announcement = announcement_bytes(&mut net);
    let known = set_and_wait(&mut net, lost, false);
    net.run(PERIOD - known.min(PERIOD));
    let after = net.bytes / n as u64;
    let regained = set_and_wait(&mut net, lost, true);
    println!(
        "{n:>7}  {lost:>5}  {known:>5.2?}  {regained:>14.2?}  {before:>8}  {after:>7}  {announcement:>14}"
    );
}

fn announcement_bytes(net: &mut Network) -> usize {
    let (now, last) = (net.now, net.nodes.len() - 1);
    let membership = &mut net.nodes[last].membership;
    let sent = membership.set_reaches_servers(now, false);
    let bytes = |output: &Output| match output {
        Output::Send { message, .. } => message.encode().len(),
        _ => 0,
    };
    let sum = sent.iter().map(bytes).sum();
    membership.set_reaches_servers(now, true);
    sum
}

/// Changes the state of the first daemons. Returns the time until all daemons know it.
fn set_and_wait(net: &mut Network, lost: usize, reaches: bool) -> Duration {
    for i in 0..lost {
        net.set_reaches_servers(i, reaches);
    }
    let known = |net: &Network| {
        net.nodes.iter().all(|node| {
            let members = node.membership.view().members().iter();
            members.filter(|member| !member.reaches_servers).count()
                == if reaches { 0 } else { lost }
        })
    };
    net.run_until(6 * PERIOD, known).unwrap_or(Duration::MAX)
}
