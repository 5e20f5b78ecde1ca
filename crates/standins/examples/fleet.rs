//! Stand-in data servers and discovery for a broker that is started by hand: `fleet SERVERS CONFIGURATION SECONDS`. Each server is
//! a cell of its own and holds one shard. The configuration is written to the file; after the seconds all ends.

use plover_standins::{Deployment, Fleet, Plan};
use std::time::Duration;

fn main() -> std::io::Result<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [servers, file, seconds] = &words[..] else {
        println!("fleet SERVERS CONFIGURATION SECONDS");
        return Ok(());
    };
    let servers: usize = servers.parse().map_err(std::io::Error::other)?;
    let seconds: u64 = seconds.parse().map_err(std::io::Error::other)?;
    let fleet = Fleet::start(Plan { servers, cells: servers, ..Plan::default() })?;
    let deployment = Deployment { cells: servers, shards: servers, ..Deployment::default() };
    let mut configuration = deployment.configuration(&fleet, "127.0.0.1:18480");
    configuration["ops"] = "127.0.0.1:18481".into();
    std::fs::write(file, configuration.to_string())?;
    std::thread::sleep(Duration::from_secs(seconds.min(300)));
    Ok(())
}
