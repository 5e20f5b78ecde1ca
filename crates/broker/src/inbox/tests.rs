use super::*;
use async_executor::LocalExecutor;
use futures_lite::future::{block_on, pending, poll_once};
use std::task::Poll;

fn request() -> QueryRequest {
    QueryRequest {
        id: "a".into(),
        class: 0,
        tenant: 0,
        client_timeout: 1,
        parts: Vec::new(),
        idempotency_key: None,
        predicate: "t".into(),
        limits: Default::default(),
        is_retry: false,
    }
}

/// Takes the one query in the inbox.
fn client(inbox: &Inbox) -> Client {
    let Some(Input::Query(_, _, _, client)) = inbox.take().pop() else { panic!("no query") };
    client
}

/// The task of a client that has gone may be scheduled after the tasks of many others.
#[test]
fn refreshing_presence_waits_for_the_tasks_scheduled_before() {
    for polls_needed in [1, 2] {
        let inbox = Rc::new(Inbox::default());
        let executor = LocalExecutor::new();
        let has_gone = Rc::new(Cell::new(false));
        let (task_inbox, gone) = (inbox.clone(), has_gone.clone());
        let mut task = executor.spawn(async move {
            let ticket = task_inbox.submit(1, request(), polls_needed);
            // Where two polls are needed, what the first finds is reported by the second.
            let mut found = 0;
            let read = poll_fn(|_| {
                found += usize::from(gone.get());
                if found >= polls_needed { Poll::Ready(()) } else { Poll::Pending }
            });
            ticket.receive(read).await;
        });
        block_on(executor.run(async {
            while inbox.pending_queries() == 0 {
                yield_now().await;
            }
            let client = client(&inbox);
            has_gone.set(true);
            let others: Vec<_> = (0..1000).map(|_| executor.spawn(yield_now())).collect();
            refresh_presence(&[client.presence().clone()]).await;
            assert!(!client.presence().is_waiting(), "{polls_needed} polls");
            assert!(matches!(inbox.take()[..], [Input::ClientGone(_)]));
            assert!(poll_once(&mut task).await.is_some());
            drop(others);
        }));
    }
}

/// A client that sends without end always has something to read. Nothing may wait until there is nothing
/// more.
#[test]
fn refreshing_the_presence_of_a_client_that_sends_without_end_terminates() {
    let inbox = Rc::new(Inbox::default());
    let executor = LocalExecutor::new();
    let task_inbox = inbox.clone();
    let _task = executor.spawn(async move {
        let ticket = task_inbox.submit(1, request(), 1);
        loop {
            ticket.receive(async {}).await;
            yield_now().await;
        }
    });
    block_on(executor.run(async {
        while inbox.pending_queries() == 0 {
            yield_now().await;
        }
        let client = client(&inbox);
        refresh_presence(&[client.presence().clone()]).await;
        assert!(client.presence().is_waiting());
    }));
}

/// Nothing waits for the client of a query that has ended, although the attempts that were to be sent for it
/// still refer to it.
#[test]
fn the_client_of_a_query_that_has_ended_is_not_waited_for() {
    let inbox = Inbox::default();
    let ticket = inbox.submit(1, request(), 1);
    assert!(block_on(poll_once(ticket.receive(pending::<()>()))).is_none());
    let client = client(&inbox);
    let presence = client.presence().clone();
    client.answer(Reply::Failed);
    drop(client);
    assert!(!presence.is_waiting());
    block_on(refresh_presence(&[presence]));
    assert_eq!(block_on(ticket.reply()), Reply::Failed);
    drop(ticket);
    assert!(inbox.take().is_empty());
}
