use super::seats::{Rank, Seats};
use super::*;
use crate::inbox::Input;
use crate::operator::Operator;
use async_io::Timer;
use futures_lite::AsyncWriteExt;
use futures_lite::future::yield_now;
use plover_model::query::{Names, Reply};
use plover_runtime::clock::with_timeout;
use plover_runtime::net::read_some;
use std::net::TcpStream;

/// One that was to make room may get a request in the same moment and stay; accepting waited for its end,
/// and new connections were not taken meanwhile.
#[test]
fn accepting_goes_on_where_one_that_was_to_make_room_stays() {
    let shared = Shared::new(Rc::default(), Clock::start(), RequestConfig::default());
    let executor = Rc::new(LocalExecutor::new());
    let front = Rc::new(Http1::new(shared, 2));
    let seats: Rc<Seats> = accept::Serve::seats(&*front).clone();
    let stays = seats.take();
    let _stays = stays.spare(Rank::Fresh);
    let seat = seats.take();
    let leaves = executor.spawn(async move {
        seat.spare(Rank::Served).closed().await;
    });
    let listener = Rc::new(Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap());
    let _client = TcpStream::connect(listener.get_ref().local_addr().unwrap()).unwrap();
    let _accept = executor.spawn(accept::accept(front.clone(), listener, executor.clone()));
    let taken = async {
        leaves.await;
        while front.open() < 2 {
            yield_now().await;
        }
        Ok(())
    };
    async_io::block_on(executor.run(with_timeout(Duration::from_secs(30), taken))).unwrap();
}

const READY: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";

/// A front of so many seats, and what it listens with.
struct Rig {
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    listening: Listening<Http1>,
    to: std::net::SocketAddr,
}

impl Rig {
    fn new(seats: usize) -> Rig {
        let shared = Shared::new(Rc::default(), Clock::start(), RequestConfig::default());
        let executor = Rc::new(LocalExecutor::new());
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let to = listener.get_ref().local_addr().unwrap();
        let listening = Listening::start(Http1::new(shared.clone(), seats), listener, &executor);
        Rig { shared, executor, listening, to }
    }

    fn connect(&self) -> Async<TcpStream> {
        Async::new(TcpStream::connect(self.to).unwrap()).unwrap()
    }

    fn run<T>(&self, work: impl Future<Output = T>) -> T {
        let work = with_timeout(Duration::from_secs(30), async { Ok(work.await) });
        async_io::block_on(self.executor.run(work)).unwrap()
    }
}

/// The next that a client reads; empty: the broker has closed in order.
async fn next(client: &Async<TcpStream>) -> String {
    let mut input = Vec::new();
    read_some(client, &mut input).await.unwrap();
    String::from_utf8(input).unwrap()
}

/// Requests that are written when the broker has just closed its side must meet no reset: their client reads the end of
/// the connection, and knows that none of them was taken.
#[test]
fn a_request_that_crosses_the_closing_of_its_connection_meets_no_reset() {
    for stage in [Stage::Serving, Stage::CloseIdle] {
        let rig = Rig::new(2);
        rig.run(async {
            let client = rig.connect();
            // At `Serving` its time as an idle one ends; at `Empty` all idle ones are closed.
            (&client).write_all(READY).await.unwrap();
            assert!(next(&client).await.starts_with("HTTP/1.1 200"));
            if stage == Stage::CloseIdle {
                rig.shared.set_stage(stage);
                rig.listening.front.close_idle();
            }
            assert_eq!(next(&client).await, "");
            for _ in 0..5 {
                (&client).write_all(READY).await.unwrap();
                yield_now().await;
            }
            drop(client);
            while rig.listening.front.open() > 0 {
                yield_now().await;
            }
        });
    }
}

/// While the broker stays for those who are connected, none of them is closed as idle, however many seats are taken.
#[test]
fn who_is_connected_is_kept_while_the_broker_stays() {
    let rig = Rig::new(2);
    rig.run(async {
        let client = rig.connect();
        (&client).write_all(READY).await.unwrap();
        assert!(next(&client).await.starts_with("HTTP/1.1 200"));
        rig.shared.set_stage(Stage::GracePeriod);
        Timer::after(2 * seats::IDLE_PRESSED).await;
        (&client).write_all(READY).await.unwrap();
        let answer = next(&client).await;
        assert!(answer.starts_with("HTTP/1.1 503") && !answer.contains("Connection: close"), "{answer}");
        rig.shared.set_stage(Stage::CloseIdle);
        rig.listening.front.close_idle();
        assert_eq!(next(&client).await, "");
    });
}

/// The same where the answer said that it is the last.
#[test]
fn a_request_behind_the_last_answer_meets_no_reset() {
    let rig = Rig::new(2);
    rig.shared.set_stage(Stage::CloseIdle);
    rig.run(async {
        let client = rig.connect();
        (&client).write_all(READY).await.unwrap();
        assert!(next(&client).await.contains("Connection: close"));
        assert_eq!(next(&client).await, "");
        for _ in 0..5 {
            (&client).write_all(READY).await.unwrap();
            yield_now().await;
        }
    });
}

/// What the system accepted before the doors closed is answered, though it speaks only after; where no seat is left,
/// by the word that there is none.
#[test]
fn connections_in_the_systems_queue_are_answered_when_the_doors_close() {
    let mut rig = Rig::new(1);
    let clients = [rig.connect(), rig.connect()];
    let executor = rig.executor.clone();
    let mut listening = std::mem::replace(&mut rig.listening, Rig::new(1).listening);
    rig.run(async {
        listening.close(&executor).await;
        rig.shared.set_stage(Stage::Closing);
        listening.front.close_idle();
        while listening.front.open() < 2 {
            yield_now().await;
        }
        for _ in 0..5 {
            yield_now().await;
        }
        for client in &clients {
            (&*client).write_all(READY).await.unwrap();
            yield_now().await;
        }
        for client in &clients {
            assert!(next(client).await.starts_with("HTTP/1.1 503"));
            assert_eq!(next(client).await, "");
        }
    });
}

/// One that has been accepted and waits for room is no less taken.
#[test]
fn one_that_waits_for_room_is_answered_when_the_doors_close() {
    let mut rig = Rig::new(1);
    let _other = rig.listening.front.seats.take();
    let client = rig.connect();
    let executor = rig.executor.clone();
    let mut listening = std::mem::replace(&mut rig.listening, Rig::new(1).listening);
    rig.run(async {
        while !listening.front.seats.has_waiting() {
            yield_now().await;
        }
        listening.close(&executor).await;
        assert!(next(&client).await.starts_with("HTTP/1.1 503"));
        assert_eq!(next(&client).await, "");
    });
}

/// A request that came in the moment of the answer before it, and is not read yet, is answered on its connection.
#[test]
fn a_request_that_comes_with_the_answer_before_it_is_answered_too() {
    const QUERY: &[u8] = b"POST /lookup HTTP/1.1\r\nHost: a\r\nX-Request-Id: a\r\nContent-Length: 51\r\n\r\n\
        {\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"\"}";
    let rig = Rig::new(2);
    let names = Names { classes: vec!["lookup".to_owned()], ..Names::default() };
    let routes = Operator::default().routes(&names.classes);
    *rig.shared.terms.borrow_mut() =
        RequestConfigHistory::new(RequestConfig { names, settings: Some(crate::rig::settings()), routes });
    rig.shared.set_stage(Stage::Draining);
    rig.run(async {
        let client = rig.connect();
        (&client).write_all(QUERY).await.unwrap();
        let client_of_it = loop {
            if let Some(Input::Query(_, _, _, asked)) = rig.shared.inbox.take().pop() {
                break asked;
            }
            yield_now().await;
        };
        (&client).write_all(READY).await.unwrap();
        client_of_it.answer(Reply::Failed);
        let mut answers = String::new();
        loop {
            match next(&client).await {
                more if more.is_empty() => break,
                more => answers += &more,
            }
        }
        assert!(answers.starts_with("HTTP/1.1 502") && answers.contains("HTTP/1.1 503"), "{answers}");
        assert_eq!(answers.matches("Connection: close").count(), 1, "{answers}");
    });
}

/// Connections that had to give their seat are read on, but only so many, so that a flood of silent ones takes no descriptors:
/// the oldest is closed for the next.
#[test]
fn those_that_made_room_are_read_on_and_are_few() {
    for stage in [Stage::Serving, Stage::GracePeriod] {
        let rig = Rig::new(8);
        rig.shared.set_stage(stage);
        rig.run(async {
            let mut clients = Vec::new();
            for n in 0..40 {
                let client = rig.connect();
                (&client).write_all(READY).await.unwrap();
                assert!(next(&client).await.starts_with("HTTP/1.1 "));
                clients.push(client);
                // So many seats, one farewell for that many, and one that is being pushed out.
                assert!(rig.listening.front.open() <= 8 + 1 + 1, "{n}");
            }
            while rig.listening.front.open() > 9 {
                yield_now().await;
            }
            for client in clients.iter().take(32) {
                assert_eq!(next(client).await, "", "the end comes before anything else");
            }
        });
    }
}

/// One that is only read on goes before all others, and needs not be waited for.
#[test]
fn one_that_has_said_all_makes_room_first() {
    let rig = Rig::new(2);
    rig.run(async {
        let kept = rig.connect();
        (&kept).write_all(READY).await.unwrap();
        assert!(next(&kept).await.starts_with("HTTP/1.1 200"));
        let over = rig.connect();
        (&over).write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await.unwrap();
        assert!(next(&over).await.starts_with("HTTP/1.1 200"));
        assert_eq!(next(&over).await, "");
        // It does not close its own side: its seat is held by it for a while.
        let third = rig.connect();
        (&third).write_all(READY).await.unwrap();
        assert!(next(&third).await.starts_with("HTTP/1.1 200"));
        (&kept).write_all(READY).await.unwrap();
        assert!(next(&kept).await.starts_with("HTTP/1.1 200"));
        drop(over);
    });
}

/// Fewer seats: who rests or has asked nothing makes room, not more at once than have places; who is owed something, or is in
/// the middle of its first request, keeps its seat, and nobody new gets one before there are.
#[test]
fn fewer_seats_end_what_rests_and_nothing_else() {
    let seats = Seats::new(40);
    let held = [(); 40].map(|()| seats.take());
    let later = std::time::Instant::now() + Duration::from_secs(1);
    // Ten are owed something.
    let beginning: Vec<_> = held[10..15].iter().map(|seat| seat.spare(Rank::Beginning)).collect();
    let resting: Vec<_> = held[15..].iter().map(|seat| seat.spare(Rank::Served)).collect();
    assert_eq!((seats.taken(), seats.busy()), (40, 10));
    seats.set_seats(39);
    seats.shrink(later);
    assert_eq!(resting.iter().filter(|s| s.is_closed()).count(), 1);
    seats.set_seats(4);
    seats.shrink(later);
    let gone = resting.iter().filter(|s| s.is_closed()).count();
    assert!((2..=8).contains(&gone), "{gone}");
    (0..40).for_each(|_| seats.shrink(later));
    assert!(resting.iter().all(|s| s.is_closed()) && !beginning.iter().any(|s| s.is_closed()));
    assert!(seats.try_take().is_none());
}
