//! Properties of framing, of passing answers on, and of start-up parameters.

use bytes::BytesMut;

use super::frontend::{Frame, take_frame};
use super::parameters::parse_startup_parameters;
use super::response_filter::ResponseFilter;

const LIMIT: usize = 1_000;

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).unwrap();
    [&[tag][..], &length.to_be_bytes(), body].concat()
}

/// Takes every frame that is there; stops at the first error.
fn take_all_frames(input: &mut BytesMut, frames: &mut Vec<Frame>) -> bool {
    loop {
        match take_frame(input, LIMIT) {
            Ok(Some(frame)) => frames.push(frame),
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}

#[test]
fn any_bytes_are_framed_alike_however_they_are_cut() {
    stairward_testing::check!()
        .with_type::<(Vec<(u8, Vec<u8>)>, u8)>()
        .for_each(|(messages, step)| {
            let bytes: Vec<u8> = messages
                .iter()
                .flat_map(|(tag, body)| match tag % 4 {
                    0 => body.clone(),
                    _ => message(b"QPBDCEHSX"[usize::from(*tag) % 9], body),
                })
                .collect();
            let mut unsplit = Vec::new();
            take_all_frames(&mut BytesMut::from(bytes.as_slice()), &mut unsplit);
            let mut split = Vec::new();
            let mut input = BytesMut::new();
            for chunk in bytes.chunks(usize::from(*step).max(1)) {
                input.extend_from_slice(chunk);
                if !take_all_frames(&mut input, &mut split) {
                    break;
                }
                assert!(
                    input.len() <= LIMIT + 5 + chunk.len(),
                    "the buffer is bounded"
                );
            }
            assert_eq!(split, unsplit);
            for frame in &unsplit {
                let _ = frame.message();
            }
        });
}

#[test]
fn only_announced_parse_completes_are_kept_back() {
    stairward_testing::check!()
        .with_type::<Vec<(u8, bool)>>()
        .for_each(|messages| {
            let mut filter = ResponseFilter::default();
            let mut answer = Vec::new();
            let mut expected = Vec::new();
            for (tag, is_injected) in messages {
                let tag = b"123CDTEZ"[usize::from(*tag) % 8];
                let bytes = message(tag, &[*is_injected as u8; 3]);
                if tag == b'1' {
                    filter.expect_parse(*is_injected);
                }
                if tag != b'1' || !is_injected {
                    expected.extend_from_slice(&bytes);
                }
                answer.extend(bytes);
            }
            let mut output = BytesMut::new();
            filter.forward(&answer, &mut output);
            assert_eq!(output, expected);
            let parse_completes = messages.iter().filter(|(tag, _)| tag % 8 == 0).count();
            assert_eq!(filter.parse_completes, parse_completes);
        });
}

#[test]
fn any_start_up_parameters_are_read_without_harm() {
    stairward_testing::check!()
        .with_type::<(String, String, String)>()
        .for_each(|(name, value, options)| {
            let parameters = [
                ("user".to_owned(), "reader".to_owned()),
                ("options".to_owned(), options.clone()),
                (name.clone(), value.clone()),
            ];
            let _ = parse_startup_parameters(parameters.into());
        });
}

#[test]
fn options_are_split_and_sorted() {
    let options = "-c stairward.deadline_ms=250 --search-path=a\\ b -cwork_mem=4MB";
    let parameters = [
        ("user".to_owned(), "reader".to_owned()),
        ("options".to_owned(), options.to_owned()),
        ("extra_float_digits".to_owned(), "3".to_owned()),
        ("client_encoding".to_owned(), "utf-8".to_owned()),
    ];
    let read = parse_startup_parameters(parameters.into()).unwrap();
    assert_eq!(read.database, "reader");
    assert_eq!(read.hints.deadline.unwrap().as_millis(), 250);
    let settings: Vec<_> = read.settings.into_iter().collect();
    let expected = [("search_path", "'a b'"), ("work_mem", "'4MB'")];
    assert_eq!(
        settings,
        expected.map(|(name, value)| (name.to_owned(), value.to_owned()))
    );
}
