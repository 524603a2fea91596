//! The end of a role over real sockets: answers arrive whole, requests get an answer or a refusal,
//! and the thread ends in time.

mod loopback;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use loopback::stopper::{BUSY_TIME, Pace, Server, Terms, connect, exchange, get, read_all, send};

/// An answer that fits into no socket's buffers, in bytes.
const LARGE: usize = 10_000_000;
/// How long after the stop the connections are closed at the latest.
const LIMIT: Duration = Duration::from_millis(8_000);
/// By how much the end of the thread may come later than its limit.
const SLACK: Duration = Duration::from_millis(500);
const SHORT: Duration = Duration::from_millis(100);

fn limited() -> Terms {
    Terms { limit: Some(LIMIT), ..Terms::default() }
}

fn slow() -> Pace {
    Pace { delay: Duration::from_millis(500), pause: Duration::from_millis(3) }
}

#[test]
fn large_answer_arrives_whole_at_a_slow_caller_of_a_role_that_ends() {
    for close in ["", "Connection: close\r\n"] {
        let server = Server::start(limited());
        let mut caller = connect(server.address);
        send(&mut caller, &format!("GET /size/{LARGE} HTTP/1.1\r\n{close}\r\n"));
        server.wait_for(&format!("/size/{LARGE}"));
        server.stop();
        let received = read_all(&mut caller, slow());
        assert_eq!(received.statuses().unwrap(), [200]);
        drop(caller);
        server.ended_within(SLACK).unwrap();
    }
}

#[test]
fn large_answer_arrives_whole_at_a_slow_caller_when_idle_connections_are_closed() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    send(&mut caller, &get(LARGE));
    server.wait_for(&format!("/size/{LARGE}"));
    server.close_idle();
    assert_eq!(read_all(&mut caller, slow()).statuses().unwrap(), [200]);
}

#[test]
fn last_answer_arrives_whole_at_a_caller_that_pauses_longer_than_a_connection_lingers() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    send(&mut caller, &format!("GET /size/{LARGE} HTTP/1.1\r\nConnection: close\r\n\r\n"));
    let pace = Pace { delay: Duration::from_millis(2_200), ..Pace::default() };
    assert_eq!(read_all(&mut caller, pace).statuses().unwrap(), [200]);
}

#[test]
fn last_answer_arrives_whole_at_a_slow_caller_that_sends_on() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    send(&mut caller, &format!("GET /size/{LARGE} HTTP/1.1\r\nConnection: close\r\n\r\n"));
    server.wait_for(&format!("/size/{LARGE}"));
    server.stop();
    let mut writer = caller.try_clone().unwrap();
    std::thread::spawn(move || {
        while writer.write_all(b"a").is_ok() {
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    let pace = Pace { delay: Duration::from_millis(1_500), ..slow() };
    let received = read_all(&mut caller, pace);
    _ = caller.shutdown(Shutdown::Both);
    assert_eq!(received.statuses().unwrap(), [200]);
}

#[test]
fn request_that_lies_unread_when_idle_connections_are_closed_is_served() {
    let server = Server::start(limited());
    let mut callers: Vec<_> = (0..5).map(|_| connect(server.address)).collect();
    for caller in &mut callers {
        exchange(caller, &get(10));
    }
    std::thread::sleep(BUSY_TIME);
    server.keep_busy();
    server.close_idle();
    for caller in &mut callers {
        send(caller, &get(20));
    }
    for caller in &mut callers {
        let received = read_all(caller, Pace::default());
        assert_eq!(received.statuses().unwrap(), [200]);
        assert_eq!(received.answers, [(200, 20)]);
    }
}

#[test]
fn request_that_is_read_when_idle_connections_are_closed_may_be_answered_later() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    exchange(&mut caller, &get(10));
    std::thread::sleep(BUSY_TIME);
    server.keep_busy();
    server.close_idle();
    send(&mut caller, "GET /later HTTP/1.1\r\n\r\n");
    server.wait_for("/later");
    std::thread::sleep(BUSY_TIME);
    server.start_busy();
    assert_eq!(read_all(&mut caller, Pace::default()).statuses().unwrap(), [200]);
}

#[test]
fn request_that_lies_half_unread_when_idle_connections_are_closed_is_served() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    exchange(&mut caller, &get(10));
    std::thread::sleep(BUSY_TIME);
    server.keep_busy();
    server.close_idle();
    send(&mut caller, "POST /size/20 HTTP/1.1\r\nContent-Length: 2\r\n\r\nh");
    std::thread::sleep(BUSY_TIME * 2);
    send(&mut caller, "i");
    assert_eq!(read_all(&mut caller, Pace::default()).statuses().unwrap(), [200]);
}

#[test]
fn request_of_a_slow_reader_after_idle_connections_are_closed_is_served() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    send(&mut caller, &get(LARGE));
    server.wait_for(&format!("/size/{LARGE}"));
    std::thread::sleep(BUSY_TIME);
    server.close_idle();
    std::thread::sleep(BUSY_TIME);
    send(&mut caller, &get(20));
    assert_eq!(read_all(&mut caller, slow()).statuses().unwrap(), [200, 200]);
}

#[test]
fn idle_connection_is_closed_and_a_busy_one_is_not() {
    let server = Server::start(limited());
    let mut idle = connect(server.address);
    let mut busy = connect(server.address);
    exchange(&mut idle, &get(10));
    send(&mut busy, "POST /size/7 HTTP/1.1\r\nContent-Length: 2\r\n\r\nh");
    std::thread::sleep(SHORT);
    server.close_idle();
    assert_eq!(read_all(&mut idle, Pace::default()).statuses().unwrap(), [0_u16; 0]);
    assert_eq!(exchange(&mut busy, "i"), (200, 7));
    assert_eq!(exchange(&mut busy, &get(8)), (200, 8));
}

#[test]
fn request_that_lies_unread_when_the_role_ends_is_refused() {
    let server = Server::start(limited());
    let mut callers: Vec<_> = (0..5).map(|_| connect(server.address)).collect();
    for caller in &mut callers {
        exchange(caller, &get(10));
    }
    std::thread::sleep(BUSY_TIME);
    server.keep_busy();
    server.stop();
    for caller in &mut callers {
        send(caller, &get(20));
    }
    for mut caller in callers {
        assert_eq!(read_all(&mut caller, Pace::default()).statuses().unwrap(), [503]);
    }
    let events = server.ended_within(SLACK).unwrap();
    assert_eq!(events.iter().filter(|e| *e == "late /size/20").count(), 5, "{events:?}");
}

#[test]
fn request_that_lies_unread_is_refused_though_no_time_is_left() {
    let server = Server::start(Terms { limit: Some(Duration::ZERO), ..Terms::default() });
    let mut kept = connect(server.address);
    exchange(&mut kept, &get(10));
    server.keep_busy();
    server.stop();
    let mut new = connect(server.address);
    for caller in [&mut kept, &mut new] {
        send(caller, &get(20));
    }
    for mut caller in [kept, new] {
        assert_eq!(read_all(&mut caller, Pace::default()).statuses().unwrap(), [503]);
    }
    server.ended_within(SLACK).unwrap();
}

#[test]
fn connection_that_comes_after_the_end_has_begun_is_not_accepted() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    send(&mut caller, &get(LARGE));
    server.wait_for(&format!("/size/{LARGE}"));
    server.stop();
    server.wait_for("shutdown");
    std::thread::sleep(SHORT);
    let refused = TcpStream::connect(server.address).map_err(|e| e.kind());
    assert_eq!(refused.err(), Some(ErrorKind::ConnectionRefused));
    assert_eq!(read_all(&mut caller, slow()).statuses().unwrap(), [200]);
}

#[test]
fn large_request_that_lies_unread_when_the_role_ends_is_refused_by_the_role() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    let post = |size| format!("POST /size/1 HTTP/1.1\r\nContent-Length: {size}\r\n\r\n");
    // A large request before it lets the socket hold the next one whole.
    exchange(&mut caller, &(post(4_000_000) + &"a".repeat(4_000_000)));
    server.keep_busy();
    server.stop();
    send(&mut caller, &(post(150_000) + &"a".repeat(150_000)));
    assert_eq!(read_all(&mut caller, Pace::default()).statuses().unwrap(), [503]);
    drop(caller);
    assert_eq!(server.ended_within(SLACK).unwrap(), ["shutdown", "late /size/1"]);
}

#[test]
fn pipelined_requests_across_the_stop_are_answered_or_refused() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    let pipelined = [get(LARGE / 4), get(LARGE / 4), get(10)].concat();
    send(&mut caller, &pipelined);
    server.wait_for("/size/10");
    server.keep_busy();
    server.stop();
    send(&mut caller, &pipelined);
    assert_eq!(read_all(&mut caller, slow()).statuses().unwrap(), [200, 200, 200, 503]);
    drop(caller);
    server.ended_within(SLACK).unwrap();
}

#[test]
fn caller_that_sends_its_body_slowly_across_the_stop_is_refused() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    send(&mut caller, "POST /size/1 HTTP/1.1\r\nContent-Length: 100\r\n\r\nab");
    std::thread::sleep(SHORT);
    server.stop();
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(10));
        assert!(caller.write_all(b"c").is_ok(), "the caller could not send its content");
    }
    assert_eq!(read_all(&mut caller, Pace::default()).statuses().unwrap(), [503]);
    drop(caller);
    assert_eq!(server.ended_within(SLACK).unwrap(), ["shutdown"]);
}

#[test]
fn caller_that_has_sent_half_a_head_is_refused() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    send(&mut caller, "GET /size/1 HT");
    std::thread::sleep(SHORT);
    server.stop();
    assert_eq!(read_all(&mut caller, Pace::default()).statuses().unwrap(), [503]);
    drop(caller);
    assert_eq!(server.ended_within(SLACK).unwrap(), ["shutdown"]);
}

#[test]
fn connections_in_the_accept_queue_at_the_end_are_refused() {
    let server = Server::start(limited());
    server.keep_busy();
    server.stop();
    let mut callers: Vec<_> = (0..5).map(|_| connect(server.address)).collect();
    for caller in &mut callers {
        send(caller, &get(20));
    }
    for mut caller in callers {
        assert_eq!(read_all(&mut caller, Pace::default()).statuses().unwrap(), [503]);
    }
    server.ended_within(SLACK).unwrap();
}

#[test]
fn request_that_comes_right_after_its_connection_at_the_end_is_refused() {
    let server = Server::start(limited());
    server.keep_busy();
    server.stop();
    let mut caller = connect(server.address);
    std::thread::sleep(BUSY_TIME + Duration::from_millis(80));
    send(&mut caller, &get(20));
    assert_eq!(read_all(&mut caller, Pace::default()).statuses().unwrap(), [503]);
    drop(caller);
    server.ended_within(SLACK).unwrap();
}

#[test]
fn request_whose_last_byte_comes_just_before_the_end_is_refused_by_the_role() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    send(&mut caller, "POST /size/1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nab");
    std::thread::sleep(SHORT);
    server.keep_busy();
    server.stop();
    send(&mut caller, "c");
    assert_eq!(read_all(&mut caller, Pace::default()).statuses().unwrap(), [503]);
    drop(caller);
    assert_eq!(server.ended_within(SLACK).unwrap(), ["shutdown", "late /size/1"]);
}

#[test]
fn caller_that_never_reads_does_not_hold_up_the_end() {
    let limit = Duration::from_millis(1_500);
    let server = Server::start(Terms { limit: Some(limit), ..Terms::default() });
    let mut caller = connect(server.address);
    send(&mut caller, &get(LARGE));
    server.wait_for(&format!("/size/{LARGE}"));
    let begin = Instant::now();
    server.stop();
    server.ended_within(limit + SLACK).unwrap();
    assert!(begin.elapsed() >= limit, "the answer was given up after {:?}", begin.elapsed());
}

#[test]
fn role_that_answers_nothing_after_its_end_does_not_hold_it_up() {
    for limit in [Some(Duration::from_millis(700)), None] {
        let server = Server::start(Terms { limit, mute: true, ..Terms::default() });
        server.keep_busy();
        server.stop();
        let mut caller = connect(server.address);
        send(&mut caller, &get(20));
        let longest = limit.unwrap_or(Duration::from_millis(1_000));
        server.ended_within(BUSY_TIME + longest + SLACK).unwrap();
        assert_eq!(read_all(&mut caller, Pace::default()).rest, 0);
    }
}

#[test]
fn many_callers_get_an_answer_or_a_refusal() {
    let server = Server::start(limited());
    let mut callers: Vec<_> = (0..300).map(|_| connect(server.address)).collect();
    for caller in callers.iter_mut().step_by(2) {
        exchange(caller, &get(10));
    }
    server.keep_busy();
    server.stop();
    for caller in &mut callers {
        send(caller, &get(20));
    }
    for mut caller in callers {
        assert_eq!(read_all(&mut caller, Pace::default()).statuses().unwrap(), [503]);
    }
    server.ended_within(SLACK).unwrap();
}

#[test]
fn role_without_connections_ends_at_once() {
    let server = Server::start(limited());
    std::thread::sleep(SHORT);
    server.stop();
    server.ended_within(Duration::from_millis(200)).unwrap();
}

#[test]
fn second_stop_is_not_seen_by_a_role_that_has_ended() {
    let server = Server::start(limited());
    let mut caller = connect(server.address);
    send(&mut caller, &get(LARGE));
    server.wait_for(&format!("/size/{LARGE}"));
    server.stop();
    server.stop();
    std::thread::sleep(SHORT);
    server.stop();
    assert_eq!(read_all(&mut caller, slow()).statuses().unwrap(), [200]);
    drop(caller);
    let events = server.ended_within(SLACK).unwrap();
    assert_eq!(events, ["shutdown"]);
}

#[test]
fn role_that_ends_in_the_middle_of_a_poll_sees_only_requests_after_it() {
    let server = Server::start(limited());
    let mut stopping = connect(server.address);
    let mut hanging = connect(server.address);
    let mut last = connect(server.address);
    send(&mut hanging, "GET /hang HTTP/1.1\r\n\r\n");
    server.wait_for("/hang");
    server.keep_busy();
    send(&mut stopping, "GET /stop HTTP/1.1\r\n\r\n");
    drop(hanging);
    send(&mut last, &get(20));
    let received = read_all(&mut last, Pace::default());
    drop((last, stopping));
    let events = server.ended_within(LIMIT + SLACK).unwrap();
    assert_eq!(events, ["/stop", "late /size/20"]);
    assert_eq!(received.statuses().unwrap(), [503]);
}

#[test]
fn role_that_has_ended_dials_no_endpoint() {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    endpoint.set_nonblocking(true).unwrap();
    let address = endpoint.local_addr().unwrap();
    let limit = Some(Duration::from_millis(500));
    let server = Server::start(Terms { limit, endpoint: Some(address), ..Terms::default() });
    let mut stopping = connect(server.address);
    let mut dialling = connect(server.address);
    std::thread::sleep(SHORT);
    server.keep_busy();
    send(&mut stopping, "GET /stop HTTP/1.1\r\n\r\n");
    send(&mut dialling, "GET /dial HTTP/1.1\r\n\r\n");
    let events = server.ended_within(BUSY_TIME + SLACK * 2).unwrap();
    assert_eq!(events, ["/stop", "late /dial"]);
    assert!(endpoint.accept().is_err(), "an endpoint was dialled after the end");
}

/// Fails if what a role sends to an endpoint in the step of its end is dropped.
#[test]
fn request_that_is_sent_in_the_step_of_the_end_reaches_its_endpoint() {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = endpoint.local_addr().unwrap();
    let server = Server::start(Terms { endpoint: Some(address), ..limited() });
    let mut caller = connect(server.address);
    send(&mut caller, "GET /dial-and-stop HTTP/1.1\r\n\r\n");
    server.wait_for("/dial-and-stop");
    let (mut dialled, _) = endpoint.accept().unwrap();
    dialled.set_read_timeout(Some(BUSY_TIME)).unwrap();
    let mut bytes = [0; 64];
    let count = dialled.read(&mut bytes).unwrap_or_default();
    assert!(bytes[..count].starts_with(b"GET /a "), "got {count} bytes");
}

#[test]
fn endpoint_that_reads_nothing_holds_up_the_end_for_a_second_at_most() {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = endpoint.local_addr().unwrap();
    let terms = Terms { endpoint: Some(address), last_bytes: LARGE, ..limited() };
    let server = Server::start(terms);
    let mut caller = connect(server.address);
    send(&mut caller, "GET /dial-and-stop HTTP/1.1\r\n\r\n");
    server.wait_for("/dial-and-stop");
    drop(caller);
    server.ended_within(Duration::from_secs(1) + SLACK).unwrap();
}
