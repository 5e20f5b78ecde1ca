//! Hollow data servers speak the data servers' protocol, show faults by switch, and keep one account.

use plover_frames::from_broker::{End, answer, probe_answer};
use plover_frames::{FromServer, PartLine, call, decode, give_up};
use plover_scale::plan::Plan;
use plover_scale::process::Guard;
use plover_scale::servers::times::{Times, cold_stretch};
use plover_scale::servers::{Fault, Fleet, Shape};
use plover_standins::value;
use rand::SeedableRng;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What never comes is waited for so long.
const NEVER: Duration = Duration::from_millis(200);
/// What comes, comes in this time on whatever machine.
const BOUND: Duration = Duration::from_secs(30);

fn plan(directory: &std::path::Path) -> Plan {
    Plan {
        brokers: Vec::new(),
        rig: env!("CARGO_BIN_EXE_scale").into(),
        seed: 3,
        quick: true,
        aim: None,
        parts: None,
        sizes: Vec::new(),
        guard: Guard::new(directory).unwrap(),
        cores: 1,
    }
}

fn fleet(plan: &Plan, servers: usize, cells: usize) -> Fleet {
    let times = Times::Fixed(0);
    let warm_after = Duration::from_secs(3600);
    Fleet::start(plan, Shape { servers, cells, processes: 2, times, warm_after }).unwrap()
}

fn line(id: &str, shard: usize) -> PartLine<'_> {
    PartLine { id, shard, wait_ms: 1000, key: None, text: "c41e77d0" }
}

struct Peer {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Peer {
    fn connect(to: SocketAddr) -> Peer {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(BOUND)).unwrap();
        Peer { stream, input: Vec::new() }
    }

    fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// The next message; `None`: the connection has ended.
    fn hear(&mut self) -> Option<FromServer> {
        loop {
            if let Some((message, length)) = decode(&self.input).unwrap() {
                self.input.drain(..length);
                return Some(message);
            }
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("{e}"),
            }
        }
    }

    fn hears_nothing(&mut self) -> bool {
        self.stream.set_read_timeout(Some(NEVER)).unwrap();
        let quiet = self.stream.read(&mut [0; 1]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        self.stream.set_read_timeout(Some(BOUND)).unwrap();
        quiet
    }
}

fn heard(message: Option<FromServer>) -> (String, String) {
    match message {
        Some(FromServer::Answer { id, value, .. }) => (id, value),
        other => panic!("{other:?}"),
    }
}

#[test]
fn parts_are_answered_with_the_value_of_their_shard() {
    let directory = tempfile::tempdir().unwrap();
    let mut fleet = fleet(&plan(directory.path()), 6, 3);
    let at = fleet.addresses().to_vec();
    // A call that comes in pieces, two calls in one write, and parts on two servers of one cell.
    let mut peer = Peer::connect(at[1]);
    let bytes = call([line("a.1", 1), line("a.4", 4)]);
    for piece in bytes.chunks(7) {
        peer.send(piece);
    }
    let mut ids = [heard(peer.hear()), heard(peer.hear())];
    ids.sort();
    assert_eq!(ids, [("a.1".into(), value(1, "c41e77d0")), ("a.4".into(), value(4, "c41e77d0"))]);
    peer.send(&[call([line("b.1", 1)]), call([line("c.1", 1)])].concat());
    let mut ids = [heard(peer.hear()).0, heard(peer.hear()).0];
    ids.sort();
    assert_eq!(ids, ["b.1", "c.1"]);
    // The same part again, on the other holder of its shard: a further attempt.
    let mut other = Peer::connect(at[4]);
    other.send(&call([line("b.1", 1)]));
    assert_eq!(heard(other.hear()).0, "b.1");
    let account = fleet.account(true).unwrap();
    assert_eq!((account.parts, account.first, account.answered, account.calls), (5, 4, 5, 4));
    assert_eq!((account.accepted, account.open, account.most_of_one), (2, 2, 4));
    let sent: usize =
        [call([line("a.1", 1), line("a.4", 4)]), call([line("b.1", 1)])].iter().map(Vec::len).sum();
    assert_eq!(account.bytes_in, (sent + 2 * call([line("b.1", 1)]).len()) as u64);
    assert_eq!(account.bytes_out % answer("b.1", End::Good, Some(0), &value(1, "c41e77d0")).len() as u64, 0);
    assert_eq!(fleet.account(false).unwrap().parts, 0);
}

#[test]
fn probes_are_answered_and_noise_ends_the_connection() {
    let directory = tempfile::tempdir().unwrap();
    let mut fleet = fleet(&plan(directory.path()), 2, 2);
    let mut stream = TcpStream::connect(fleet.addresses()[0]).unwrap();
    stream.set_read_timeout(Some(BOUND)).unwrap();
    stream.write_all(b"\0\0\0\x01p").unwrap();
    let expected = probe_answer(true, 0);
    let mut got = vec![0; expected.len()];
    stream.read_exact(&mut got).unwrap();
    assert_eq!(got, expected);
    let mut peer = Peer::connect(fleet.addresses()[0]);
    peer.send(b"\0\0\0\x05xnoise");
    assert!(matches!(peer.hear(), Some(FromServer::Rejected(_))));
    assert_eq!(peer.hear(), None);
    let account = fleet.account(false).unwrap();
    assert_eq!((account.probes, account.bad), (1, 1));
}

#[test]
fn faults_come_and_go_by_switch() {
    let directory = tempfile::tempdir().unwrap();
    let mut fleet = fleet(&plan(directory.path()), 2, 2);
    let at = fleet.addresses()[0];

    fleet.fault([0], Fault::Hang).unwrap();
    let mut peer = Peer::connect(at);
    peer.send(&call([line("h.0", 0)]));
    assert!(peer.hears_nothing());
    peer.send(&give_up("h.0"));

    fleet.fault([0], Fault::Errors(1)).unwrap();
    peer.send(&call([line("e.0", 0)]));
    let Some(FromServer::Answer { outcome, value, .. }) = peer.hear() else { panic!() };
    assert_eq!((outcome, &*value), (plover_model::server::Outcome::Error, ""));

    fleet.fault([0], Fault::Resets(1)).unwrap();
    peer.send(&call([line("r.0", 0)]));
    assert_eq!(peer.hear(), None);

    // A connection that comes up late is up for the system, and silent until then.
    fleet.fault([0], Fault::Late(1_000_000)).unwrap();
    let begun = std::time::Instant::now();
    let mut late = Peer::connect(at);
    late.send(&call([line("l.0", 0)]));
    assert_eq!(heard(late.hear()).0, "l.0");
    assert!(begun.elapsed() >= Duration::from_millis(900), "{:?}", begun.elapsed());

    fleet.fault([0], Fault::Slow(500_000)).unwrap();
    let begun = std::time::Instant::now();
    late.send(&call([line("s.0", 0)]));
    assert_eq!(heard(late.hear()).0, "s.0");
    assert!(begun.elapsed() >= Duration::from_millis(450), "{:?}", begun.elapsed());

    // Dead, nothing listens; back again it is cold, and its account says so.
    fleet.fault([0], Fault::Dead).unwrap();
    assert_eq!(late.hear(), None);
    assert!(TcpStream::connect(at).is_err());
    fleet.fault([0], Fault::None).unwrap();
    let mut again = Peer::connect(at);
    again.send(&call([line("c.0", 0)]));
    assert_eq!(heard(again.hear()).0, "c.0");
    let account = fleet.account(false).unwrap();
    assert_eq!((account.cold, account.given_up), (1, 1));
    // The other server was sound throughout.
    let mut sound = Peer::connect(fleet.addresses()[1]);
    sound.send(&call([line("o.1", 1)]));
    assert_eq!(heard(sound.hear()).0, "o.1");
}

/// Times are drawn by their median and 99th percentile, and a cold server's grow.
#[test]
fn times_follow_their_distribution() {
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(11);
    let times = Times::Lognormal { median: 5_000, p99: 20_000 };
    let mut drawn: Vec<u64> = (0..100_000).map(|_| times.draw(&mut random)).collect();
    drawn.sort_unstable();
    let at = |share: f64| drawn[(share * drawn.len() as f64) as usize] as f64;
    assert!((at(0.5) / 5_000.0 - 1.0).abs() < 0.03, "{}", at(0.5));
    assert!((at(0.99) / 20_000.0 - 1.0).abs() < 0.06, "{}", at(0.99));
    assert_eq!(Times::Fixed(7).draw(&mut random), 7);
    assert!((cold_stretch(0, 10) - 5.0).abs() < 1e-9);
    assert!((cold_stretch(10, 10) - 1.0).abs() < 1e-9 && (cold_stretch(99, 10) - 1.0).abs() < 1e-9);
}
