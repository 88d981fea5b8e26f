# Runs PROGRAM and compares its standard output with the file EXPECTED.
execute_process(COMMAND ${PROGRAM} OUTPUT_VARIABLE actual RESULT_VARIABLE status)
file(READ ${EXPECTED} expected)
if(NOT status EQUAL 0 OR NOT actual STREQUAL expected)
  message(FATAL_ERROR "exit status ${status}, expected output:\n${expected}\nactual output:\n${actual}")
endif()
