-- Pools of the trial with examples/emulator.ini.
--   go run ./cmd/sliplift query --file examples/pools.sql

CREATE POOL titles KIND engines MODEL language
  VERSION BOUND 4
  PRIORITY 10
  MAX IN FLIGHT 32
  IDLE WEIGHT 0.7
  BACKENDS (
    e1 AT '127.0.0.1:7101' ZONE 'hall-a' REGION south SITE old,
    e2 AT '127.0.0.1:7102' ZONE 'hall-a' REGION south SITE old,
    e3 AT '127.0.0.1:7103' ZONE 'hall-a' REGION south SITE old,
    e4 AT '127.0.0.1:7104' ZONE 'hall-b' REGION south SITE new,
    e5 AT '127.0.0.1:7105' ZONE 'hall-b' REGION south SITE new,
    e6 AT '127.0.0.1:7106' ZONE 'hall-b' REGION south SITE new
  );

CREATE POOL preview KIND applications
  BACKENDS ('preview-1' AT '127.0.0.1:7201' ZONE 'hall-a' REGION south SITE old);

CREATE POOL booking KIND applications
  BACKENDS ('booking-1' AT '127.0.0.1:7202' ZONE 'hall-b' REGION south SITE new);
