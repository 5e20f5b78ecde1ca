//! What an idle request costs in memory, over both fronts: its head is there, its body is not.

use super::Build;
use async_executor::LocalExecutor;
use plover_load::{Ask, Http1, Http2};
use plover_standins::Plan;
use std::io;
use std::time::Duration;

/// Streams of a connection.
const STREAMS: usize = 100;
/// Requests at once, over HTTP/1.1 as far as its seats go.
pub(super) const SIZES: [(bool, usize); 5] =
    [(false, 250), (false, 500), (true, 250), (true, 500), (true, 1000)];

/// Time for the broker to take what was sent. A request that stops is given up after 2 s.
const SETTLE: Duration = Duration::from_millis(700);

/// The broker's resident memory before and with so many half-sent requests, in bytes.
pub(super) fn measure(build: &Build, http2: bool, requests: usize) -> io::Result<(u64, u64)> {
    let (_fleet, program) = build.start(Plan { work: Duration::ZERO, ..Plan::default() }, false)?;
    let executor = LocalExecutor::new();
    let before = program.memory()?;
    let to = program.http2.filter(|_| http2);
    let clients = async {
        let (mut old, mut new, mut streams) = (Vec::new(), Vec::new(), Vec::new());
        for n in 0..requests {
            let request = Ask::new(format!("memory{n}"), "lookup", &[n % 8]).request();
            match to {
                Some(to) => {
                    if n % STREAMS == 0 {
                        new.push(Http2::connect(to, &executor).await?);
                    }
                    streams.push(new[n / STREAMS].open_half(&request).await.map_err(io::Error::other)?);
                }
                None => {
                    let mut connection = Http1::connect(program.http1).await?;
                    connection.send_half(&request).await?;
                    old.push(connection);
                }
            }
        }
        async_io::Timer::after(SETTLE).await;
        program.memory()
    };
    let with = async_io::block_on(executor.run(clients))?;
    Ok((before, with))
}
