//! Property tests of message framing, response filtering and startup parameters.

use bytes::BytesMut;

use super::frontend::{Frame, take_frame};
use super::parameters::parse_startup_parameters;
use super::response_filter::ResponseFilter;

const LIMIT: usize = 1_000;

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).unwrap();
    [&[tag][..], &length.to_be_bytes(), body].concat()
}

/// Takes all complete frames from `input`; returns false at the first error.
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
fn framing_does_not_depend_on_how_input_is_split() {
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
fn only_injected_parse_completes_are_dropped() {
    stairward_testing::check!()
        .with_type::<Vec<(u8, bool)>>()
        .for_each(|messages| {
            let mut filter = ResponseFilter::default();
            let mut response = Vec::new();
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
                response.extend(bytes);
            }
            let mut output = BytesMut::new();
            filter.forward(&response, &mut output);
            assert_eq!(output, expected);
            let parse_completes = messages.iter().filter(|(tag, _)| tag % 8 == 0).count();
            assert_eq!(filter.parse_completes, parse_completes);
        });
}

#[test]
fn arbitrary_startup_parameters_do_not_panic() {
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
fn startup_options_are_parsed_and_separated_from_hints() {
    let options = "-c stairward.deadline_ms=250 --search-path=a\\ b -cwork_mem=4MB";
    let parameters = [
        ("user".to_owned(), "reader".to_owned()),
        ("options".to_owned(), options.to_owned()),
        ("extra_float_digits".to_owned(), "3".to_owned()),
        ("client_encoding".to_owned(), "utf-8".to_owned()),
    ];
    let parsed = parse_startup_parameters(parameters.into()).unwrap();
    assert_eq!(parsed.database, "reader");
    assert_eq!(parsed.hints.deadline.unwrap().as_millis(), 250);
    let settings: Vec<_> = parsed.settings.into_iter().collect();
    let expected = [("search_path", "'a b'"), ("work_mem", "'4MB'")];
    assert_eq!(
        settings,
        expected.map(|(name, value)| (name.to_owned(), value.to_owned()))
    );
}
