//! What a newcomer runs: the demo, and a look at what a proxy would be told.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

const EXE: &str = env!("CARGO_BIN_EXE_ploverport");

struct Demo(Child);

impl Drop for Demo {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn the_demo_can_be_dumped_in_every_manner() {
    let child = Command::new(EXE)
        .args(["control", "--demo", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut demo = Demo(child);
    let lines = BufReader::new(demo.0.stdout.take().unwrap()).lines().map_while(Result::ok);
    let address = lines.into_iter().find_map(|l| l.split("xds dump ").nth(1).map(str::to_owned)).unwrap();
    for manner in [&["--as", "envoy"][..], &["--as", "grpc", "--sotw"]] {
        let dump = Command::new(EXE).args(["xds", "dump", &address, "--json"]).args(manner).output().unwrap();
        assert!(dump.status.success(), "{}", String::from_utf8_lossy(&dump.stderr));
        let told: serde_json::Value = serde_json::from_slice(&dump.stdout).unwrap();
        let clusters = told["clusters"].as_array().unwrap();
        let endpoints = clusters.iter().map(|c| c["endpoints"].as_array().unwrap().len());
        assert_eq!(endpoints.collect::<Vec<_>>(), [3, 3], "{told}");
        assert_eq!(told["routes"].as_array().unwrap().len(), 2, "{told}");
        let text = Command::new(EXE).args(["xds", "dump", &address]).args(manner).output().unwrap();
        assert!(String::from_utf8_lossy(&text.stdout).contains("healthy"));
    }
    let nobody = Command::new(EXE).args(["xds", "dump", "127.0.0.1:1"]).output().unwrap();
    assert!(!nobody.status.success() && String::from_utf8_lossy(&nobody.stderr).contains("127.0.0.1:1"));
}
