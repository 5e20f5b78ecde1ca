//! Each rule with a record that breaks it alone, and one at its edge that does not.

use plover_model::time::{MILLI, Micros, SECOND};
use plover_standins::value;
use plover_trial::record::{Asked, Attempt, Closer, Event, Life, Record, Seen};
use plover_trial::rules::{Rule, Rules, Verdict, check, judge};
use plover_trial::script::Link;

/// A record in the making; times are in milliseconds.
#[derive(Clone, Default)]
struct Story(Vec<Event>);

impl Story {
    /// Two brokers that run.
    fn new() -> Self {
        Story::default().life(0, 0, Life::Started).life(0, 1, Life::Started)
    }
    fn saw(mut self, ms: Micros, seen: Seen) -> Self {
        self.0.push(Event { at: ms * MILLI, seen });
        self
    }
    fn life(self, ms: Micros, broker: usize, life: Life) -> Self {
        self.saw(ms, Seen::Broker { broker, life })
    }
    /// A query of this class for shards 0 to 3 that is waited for a second.
    fn asks_for(self, ms: Micros, query: &str, broker: usize, class: usize) -> Self {
        let (query, key) = (query.to_owned(), (class == 1).then(|| "k".to_owned()));
        let (shards, patience) = (vec![0, 1, 2, 3], SECOND);
        let text = "t".to_owned();
        self.saw(
            ms,
            Seen::Asked(Asked { query, broker, class, shards, key, text, patience, connected: ms * MILLI }),
        )
    }
    fn asks(self, ms: Micros, query: &str) -> Self {
        self.asks_for(ms, query, 0, 0)
    }
    fn attempt(
        self,
        ms: Micros,
        query: &str,
        shard: usize,
        server: usize,
        ended: Option<(Micros, bool)>,
    ) -> Self {
        let key = query.starts_with('k').then(|| "k".to_owned());
        let ended = ended.map(|(ms, answered)| (ms * MILLI, answered));
        self.saw(ms, Seen::Attempt(Attempt { query: query.to_owned(), shard, server, key, ran: true, ended }))
    }
    /// Attempts at shards 0 to 3, answered at once.
    fn works(self, ms: Micros, query: &str) -> Self {
        (0..4).fold(self, |story, shard| story.attempt(ms, query, shard, shard, Some((ms, true))))
    }
    fn answered(self, ms: Micros, query: &str, whole: bool, parts: usize) -> Self {
        let values = (0..parts).map(|s| (s, value(s, "t"))).collect();
        self.saw(ms, Seen::Answered { query: query.to_owned(), whole, values })
    }
    fn refused(self, ms: Micros, query: &str) -> Self {
        self.saw(ms, Seen::Refused { query: query.to_owned() })
    }
    fn lost(self, ms: Micros, query: &str, fresh: bool, by: Closer) -> Self {
        let lost = Seen::Lost { query: query.to_owned(), port: 9, fresh };
        self.saw(ms, lost).saw(ms, Seen::Closed { broker: 0, port: 9, by })
    }
    fn told(self, ms: Micros, broker: usize, active: bool, started: Option<Micros>) -> Self {
        let started = started.map(|ms| ms * MILLI);
        self.saw(ms, Seen::Told { broker, server: 0, active, started })
    }
    fn faulty(self, ms: Micros, link: Link, until: Micros) -> Self {
        self.saw(ms, Seen::Faulty { link, until: until * MILLI, lasting: false })
    }
    /// The rules that it breaks, each once.
    fn breaks(&self) -> Vec<Rule> {
        let mut rules: Vec<Rule> =
            check(&Record::new(self.0.clone()), &Rules::default()).iter().map(|v| v.rule).collect();
        rules.dedup();
        rules
    }
    #[track_caller]
    fn keeps(self) {
        assert_eq!(self.breaks(), []);
    }
    #[track_caller]
    fn breaks_only(self, rule: Rule) {
        assert_eq!(self.breaks(), [rule]);
    }
}

fn s() -> Story {
    Story::new()
}

/// Guards against a request that came soon after SIGTERM and is not answered when SIGKILL comes: that kill excuses it not.
#[test]
fn what_came_soon_after_the_signal_is_answered_before_the_kill() {
    let told = |ms| s().life(100, 0, Life::Told).asks(ms, "q");
    let killed = |story: Story| story.life(1000, 0, Life::Expired).lost(1000, "q", false, Closer::Broker);
    killed(told(799)).breaks_only(Rule::Answered);
    killed(told(801)).keeps();
    killed(s().asks(50, "q").life(100, 0, Life::Told)).breaks_only(Rule::Answered);
    told(799).refused(900, "q").life(1000, 0, Life::Expired).keeps();
}

/// New connections may be shut unread where a crowd has taken the descriptors, and only then.
#[test]
fn a_crowd_excuses_new_connections_alone() {
    let crowd = || s().saw(5, Seen::Crowded { broker: 0 }).asks(10, "q");
    crowd().lost(50, "q", true, Closer::Broker).keeps();
    crowd().lost(50, "q", false, Closer::Broker).breaks_only(Rule::Answered);
    // It goes with its process.
    let anew = s().saw(1, Seen::Crowded { broker: 0 }).life(2, 0, Life::Killed).life(3, 0, Life::Started);
    anew.asks(10, "q").lost(50, "q", true, Closer::Broker).breaks_only(Rule::Answered);
    crowd().works(20, "q").lost(50, "q", true, Closer::Broker).breaks_only(Rule::Answered);
    s().asks(10, "q")
        .saw(60, Seen::Crowded { broker: 0 })
        .lost(50, "q", true, Closer::Broker)
        .breaks_only(Rule::Answered);
}

#[test]
fn a_query_that_was_taken_is_answered() {
    s().asks(0, "q").works(10, "q").answered(50, "q", true, 4).keeps();
    s().asks(0, "q").refused(50, "q").keeps();
    s().asks(0, "q").breaks_only(Rule::Answered);
    s().asks(0, "q").lost(50, "q", false, Closer::Broker).breaks_only(Rule::Answered);
    s().asks(0, "q").lost(50, "q", false, Closer::Unreached).keeps();
    s().asks(0, "q").lost(50, "q", false, Closer::Fault).keeps();
    // The broker was not there, was killed, or could not be heard.
    s().life(5, 0, Life::Killed).asks(6, "q").keeps();
    s().asks(0, "q").life(5, 0, Life::Killed).lost(6, "q", false, Closer::Broker).keeps();
    s().asks(0, "q").life(1200, 0, Life::Killed).breaks_only(Rule::Answered);
    s().asks(0, "q").life(5, 1, Life::Killed).breaks_only(Rule::Answered);
    s().asks(10, "q").faulty(0, Link::clients(0), 9).breaks_only(Rule::Answered);
    s().asks(10, "q").faulty(0, Link::clients(0), 10).keeps();
    s().asks(10, "q").faulty(0, Link::clients(1), 10).breaks_only(Rule::Answered);
    // Its connection was cut half-open before, or is a newer one.
    let half = Seen::Faulty { link: Link::clients(0), until: 50 * MILLI, lasting: true };
    let mut kept = s().asks(100, "q").saw(50, half);
    kept.clone().breaks_only(Rule::Answered);
    if let Seen::Asked(asked) = &mut kept.0[2].seen {
        asked.connected = 50 * MILLI;
    }
    kept.keeps();
    // One that was told to end answers what it has taken.
    let told = s().asks(0, "q").life(5, 0, Life::Told);
    told.clone().life(60, 0, Life::Ended).lost(60, "q", false, Closer::Broker).breaks_only(Rule::Answered);
    told.refused(60, "q").life(60, 0, Life::Ended).keeps();
}

#[test]
fn a_close_may_cross_a_query_once_and_before_it_is_read() {
    let crossed = Seen::Crossed { query: "q".to_owned() };
    let story = |ms| s().asks(0, "q").saw(ms, crossed.clone()).refused(90, "q");
    story(5).keeps();
    story(5).saw(6, crossed.clone()).breaks_only(Rule::Answered);
    story(5).works(6, "q").keeps();
    // The second way led nowhere.
    let lost = |port| Seen::Lost { query: "q".to_owned(), port, fresh: true };
    s().asks(0, "q").saw(5, crossed.clone()).saw(6, lost(0)).keeps();
    s().asks(0, "q").saw(5, crossed.clone()).saw(6, lost(9)).breaks_only(Rule::Answered);
    story(5).works(5, "q").breaks_only(Rule::Answered);
}

#[test]
fn a_new_connection_is_rarely_closed_without_an_answer() {
    let with = |answered: usize| {
        let story = s().asks(0, "q").lost(50, "q", true, Closer::Broker);
        (0..answered).fold(story, |story, n| {
            let id = format!("a{n}");
            story.asks(0, &id).refused(1, &id)
        })
    };
    with(199).keeps();
    with(198).breaks_only(Rule::Answered);
    // Not where a part had gone out.
    with(199).works(5, "q").breaks_only(Rule::Answered);
}

#[test]
fn a_query_gets_one_answer_and_in_time() {
    s().asks(0, "q").refused(5, "q").refused(6, "q").breaks_only(Rule::Once);
    let surplus = Seen::Surplus { query: "q".to_owned() };
    s().asks(0, "q").refused(5, "q").saw(9, surplus).breaks_only(Rule::Once);
    s().asks(0, "q").refused(1050, "q").keeps();
    s().asks(0, "q").refused(1051, "q").breaks_only(Rule::InTime);
    let silent = Seen::Silent { query: "q".to_owned() };
    s().asks(0, "q").saw(2500, silent).breaks_only(Rule::InTime);
    // What the machine held up is allowed for.
    s().asks(0, "q").refused(1151, "q").saw(7, Seen::Stalled(100 * MILLI)).breaks_only(Rule::InTime);
    s().asks(0, "q").refused(1150, "q").saw(7, Seen::Stalled(100 * MILLI)).keeps();
    // A broker that stood still as the time came has the slack from its awakening on.
    let stopped = |to| s().asks(0, "q").life(900, 0, Life::Stopped).life(to, 0, Life::Continued);
    stopped(2000).refused(2050, "q").keeps();
    stopped(2000).refused(2051, "q").breaks_only(Rule::InTime);
    stopped(1000).refused(1051, "q").breaks_only(Rule::InTime);
    // One that came as it stood still is new to it then.
    let late = |at| s().asks(at, "q").life(100, 0, Life::Stopped).life(800, 0, Life::Continued);
    late(50).refused(1850, "q").keeps();
    late(50).refused(1851, "q").breaks_only(Rule::InTime);
    late(49).refused(1100, "q").breaks_only(Rule::InTime);
}

#[test]
fn answers_are_honest() {
    let asked = |class| s().asks_for(0, "q", 0, class).works(10, "q");
    asked(0).answered(10, "q", true, 4).keeps();
    asked(0).answered(9, "q", true, 4).breaks_only(Rule::Made);
    s().asks(0, "q").answered(9, "q", true, 4).breaks_only(Rule::Made);
    let one = |shard, third: String| {
        let values = vec![(0, value(0, "t")), (1, value(1, "t")), (shard, third)];
        Seen::Answered { query: "q".to_owned(), whole: false, values }
    };
    asked(2).saw(50, one(2, value(2, "t"))).keeps();
    asked(2).saw(50, one(2, value(2, "u"))).breaks_only(Rule::Made);
    asked(2).saw(50, one(1, value(1, "t"))).breaks_only(Rule::Made);
    asked(2).attempt(9, "q", 7, 0, Some((9, true))).saw(50, one(7, value(7, "t"))).breaks_only(Rule::Made);
    asked(2).answered(50, "q", true, 3).breaks_only(Rule::Whole);
    asked(2).answered(50, "q", false, 2).breaks_only(Rule::Floor);
    asked(0).answered(50, "q", false, 3).breaks_only(Rule::Floor);
}

#[test]
fn a_part_is_attempted_so_often_and_one_at_a_time() {
    let tries = |n: Micros| {
        let story = s().asks(0, "q").refused(900, "q");
        (0..n).fold(story, |story, n| story.attempt(10 + n, "q", 0, 0, Some((10 + n, true))))
    };
    tries(4).keeps();
    tries(5).breaks_only(Rule::Attempts);
    let two = |ended| {
        let story = s().asks(0, "q").refused(900, "q").attempt(10, "q", 0, 0, ended);
        story.attempt(100, "q", 0, 1, Some((110, true)))
    };
    two(Some((150, false))).keeps();
    two(Some((151, false))).breaks_only(Rule::OneOut);
    two(None).breaks_only(Rule::OneOut);
    // Another part is another matter, and a server that could not be reached does not know what was given up.
    two(Some((20, true))).attempt(15, "q", 1, 0, None).keeps();
    two(None).faulty(100, Link::server(0, 0), 100).keeps();
    two(None).faulty(0, Link::server(0, 0), 9).breaks_only(Rule::OneOut);
    two(None).faulty(50, Link::server(0, 1), 60).breaks_only(Rule::OneOut);
}

#[test]
fn a_key_is_sent_within_its_window_by_all_brokers() {
    let again = |ms| {
        let first = s().asks_for(0, "k1", 0, 1).attempt(10, "k1", 0, 0, Some((11, false))).refused(20, "k1");
        let second = first.asks_for(ms - 5, "k2", 1, 1).attempt(ms, "k2", 0, 1, Some((ms, true)));
        second.refused(ms + 1, "k2")
    };
    again(5060).keeps();
    again(5061).breaks_only(Rule::Window);
    again(5061).faulty(5000, Link::server(1, 1), 5010).keeps();
    again(5061).faulty(5000, Link::server(1, 1), 5009).breaks_only(Rule::Window);
    // One that never ran opens no window.
    let mut story = again(5061);
    for event in &mut story.0 {
        if let Seen::Attempt(attempt) = &mut event.seen {
            attempt.ran = attempt.query != "k1";
        }
    }
    story.keeps();
}

#[test]
fn a_server_that_drains_gets_nothing_new() {
    let sent = |ms, broker| {
        let story = s().asks_for(ms, "q", broker, 0).refused(ms + 9, "q");
        story.attempt(ms, "q", 0, 0, Some((ms, true)))
    };
    let told = |ms| sent(ms, 0).told(100, 0, false, None);
    told(400).keeps();
    told(401).breaks_only(Rule::Drain);
    told(401).told(399, 0, true, None).keeps();
    sent(401, 1).told(100, 0, false, None).keeps();
    told(401).faulty(350, Link::server(0, 0), 350).keeps();
    told(401).faulty(200, Link::server(0, 0), 349).breaks_only(Rule::Drain);
    // A broker that stood still, or is a new process.
    told(600).life(90, 0, Life::Stopped).life(300, 0, Life::Continued).keeps();
    told(601).life(90, 0, Life::Stopped).life(300, 0, Life::Continued).breaks_only(Rule::Drain);
    told(401).life(200, 0, Life::Killed).life(300, 0, Life::Started).keeps();
}

#[test]
fn what_a_silent_watch_misses_is_told_after_its_time() {
    let hushed = |sent: Micros, drained, wait: Micros| {
        let story = s().asks(sent, "q").refused(sent + 9, "q").attempt(sent, "q", 0, 0, Some((sent, true)));
        let story = story.saw(1000, Seen::Hushed { broker: 0, wait_until: wait * MILLI });
        story.saw(drained, Seen::Drained { server: 0 })
    };
    // Six seconds after the silence began, two after the wait, or once it is listed: whichever is last.
    hushed(7300, 1500, 4999).keeps();
    hushed(7301, 1500, 4999).breaks_only(Rule::Drain);
    hushed(7301, 500, 4999).breaks_only(Rule::Drain);
    hushed(8300, 1500, 6000).keeps();
    hushed(8301, 1500, 6000).breaks_only(Rule::Drain);
    hushed(9300, 9000, 5000).keeps();
    hushed(9301, 9000, 5000).breaks_only(Rule::Drain);
    // It was heard again, is another process, or could not ask.
    hushed(7301, 1500, 4999).saw(7000, Seen::Heard { broker: 0 }).keeps();
    hushed(7301, 1500, 4999).saw(7000, Seen::Heard { broker: 1 }).breaks_only(Rule::Drain);
    hushed(7301, 1500, 4999).life(5000, 0, Life::Killed).life(5001, 0, Life::Started).keeps();
    hushed(7301, 1500, 4999).faulty(5000, Link::discovery(0), 5001).keeps();
    hushed(7301, 1500, 4999).faulty(1000, Link::discovery(0), 1000).breaks_only(Rule::Drain);
}

/// A server that does a hundred parts a second bears, as it starts, 45 in a second and what chance adds: 45 + 2 x 6.7 + 2.
#[test]
fn a_cold_server_is_not_pushed_over_by_those_that_know() {
    let sends = |mut story: Story, ms: Micros, parts: usize, by_one: usize| {
        for n in 0..parts {
            let (id, broker) = (format!("q{ms}-{n}"), usize::from(n >= by_one));
            story = story.asks_for(ms, &id, broker, 0).refused(ms + 900, &id);
            story = story.attempt(ms, &id, 0, 0, Some((ms + 1, true)));
        }
        story
    };
    let load = |parts: usize, by_one: usize, told: &[usize]| {
        let story = s().saw(1000, Seen::Revived { server: 0 });
        let story = told.iter().fold(story, |story, b| story.told(1001, *b, true, Some(1000)));
        sends(story, 1002, parts, by_one)
    };
    // Within one window, or in two.
    sends(load(60, 30, &[0, 1]), 2001, 60, 30).breaks_only(Rule::Cold);
    sends(load(60, 30, &[0, 1]), 2002, 60, 30).keeps();
    load(60, 30, &[0, 1]).keeps();
    load(61, 30, &[0, 1]).breaks_only(Rule::Cold);
    // Two thirds came from one that knew, or more.
    load(61, 40, &[0]).keeps();
    load(61, 41, &[0]).breaks_only(Rule::Cold);
    load(61, 30, &[]).keeps();
    // Of an earlier start, or in an earlier process.
    load(61, 61, &[]).told(1001, 0, true, Some(900)).keeps();
    let anew = load(61, 61, &[0]).life(1002, 0, Life::Killed).life(1002, 0, Life::Started);
    anew.keeps();
}

#[test]
fn a_client_that_has_gone_is_owed_nothing_and_sent_nothing_for() {
    let left = || {
        s().asks(0, "q").attempt(10, "q", 0, 0, Some((20, false))).saw(20, Seen::Left { query: "q".into() })
    };
    left().keeps();
    left().attempt(170, "q", 1, 1, Some((170, true))).keeps();
    left().attempt(171, "q", 1, 1, Some((171, true))).breaks_only(Rule::Gone);
    left().attempt(171, "q", 1, 1, Some((171, true))).faulty(20, Link::server(0, 1), 120).keeps();
    left()
        .attempt(171, "q", 1, 1, Some((171, true)))
        .faulty(20, Link::server(0, 1), 119)
        .breaks_only(Rule::Gone);
    // One that waits longer than its time was owed an answer in it.
    s().asks(0, "q").saw(1051, Seen::Left { query: "q".into() }).breaks_only(Rule::InTime);
    // One that stood still hears of it later.
    let stopped = left().life(10, 0, Life::Stopped).life(500, 0, Life::Continued);
    stopped.clone().attempt(650, "q", 1, 1, Some((650, true))).keeps();
    stopped.attempt(651, "q", 1, 1, Some((651, true))).breaks_only(Rule::Gone);
}

#[test]
fn a_broker_runs_until_it_is_told() {
    s().life(9, 0, Life::Told).life(20, 0, Life::Ended).keeps();
    s().life(9, 0, Life::Crashed).breaks_only(Rule::Runs);
}

#[test]
fn a_machine_that_stood_still_breaks_no_rule_on_time() {
    let bound = 200 * MILLI;
    let judged = |story: Story| judge(&Record::new(story.0), &Rules::default(), bound);
    let stall = |ms| s().saw(3, Seen::Stalled(ms * MILLI));
    assert_eq!(judged(stall(200)), Verdict::Kept);
    assert_eq!(judged(stall(201)), Verdict::Void(201 * MILLI));
    assert_eq!(judged(stall(201).asks(0, "q").refused(1500, "q")), Verdict::Void(201 * MILLI));
    assert!(matches!(judged(stall(200).asks(0, "q").refused(1500, "q")), Verdict::Broken(_)));
    assert!(matches!(judged(stall(201).asks(0, "q").refused(1, "q").refused(2, "q")), Verdict::Broken(_)));
}
