use super::*;
use async_executor::LocalExecutor;
use futures_lite::future::{block_on, pending, poll_once};
use std::task::Poll;

fn ask() -> QueryRequest {
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

/// The one query that waits to be taken.
fn client(inbox: &Inbox) -> Client {
    let Some(Input::Query(_, _, _, client)) = inbox.take().pop() else { panic!("no query") };
    client
}

/// The task of a client that the system has told of its going may stand behind those of many others.
#[test]
fn a_look_at_a_client_waits_for_the_tasks_before_it() {
    for needed in [1, 2] {
        let inbox = Rc::new(Inbox::default());
        let executor = LocalExecutor::new();
        let has_gone = Rc::new(Cell::new(false));
        let (inbox_of_it, gone) = (inbox.clone(), has_gone.clone());
        let mut task = executor.spawn(async move {
            let ticket = inbox_of_it.submit(1, ask(), needed);
            // What a look finds shows with the next one, where two are needed.
            let mut found = 0;
            let read = poll_fn(|_| {
                found += usize::from(gone.get());
                if found >= needed { Poll::Ready(()) } else { Poll::Pending }
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
            assert!(!client.presence().is_waiting(), "{needed} looks");
            assert!(matches!(inbox.take()[..], [Input::ClientGone(_)]));
            assert!(poll_once(&mut task).await.is_some());
            drop(others);
        }));
    }
}

/// A client that sends without end has always something to be read: nobody waits for that.
#[test]
fn a_look_at_a_client_that_sends_without_end_comes_to_an_end() {
    let inbox = Rc::new(Inbox::default());
    let executor = LocalExecutor::new();
    let inbox_of_it = inbox.clone();
    let _task = executor.spawn(async move {
        let ticket = inbox_of_it.submit(1, ask(), 1);
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

/// A query that has ended keeps nobody waiting, though what was to be sent for it still knows its client.
#[test]
fn nobody_looks_at_the_client_of_a_query_that_has_ended() {
    let inbox = Inbox::default();
    let ticket = inbox.submit(1, ask(), 1);
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
